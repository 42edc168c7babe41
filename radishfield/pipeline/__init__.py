"""State machine of a pipeline: each token passes every layer once, in order."""

from radishfield.pipeline._state import CommittedBatch, PipelineState

__all__ = ["CommittedBatch", "PipelineState"]

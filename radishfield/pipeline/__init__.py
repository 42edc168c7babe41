"""The pipeline's state machine: every layer once for each token, in order."""

from radishfield.pipeline._state import CommittedBatch, PipelineState

__all__ = ["CommittedBatch", "PipelineState"]

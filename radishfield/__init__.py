"""radishfield routes language-model requests over pipelines of mixed accelerators."""

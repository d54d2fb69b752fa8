"""Serving layer for very many LoRA adapters."""

__version__ = "0.1.0"

"""Reading of the operator's file: typed records in a subset of CUE, which includes JSON."""

from pearloom.records.check import Fields
from pearloom.records.language import RecordError, Struct, Value, parse

__all__ = ["Fields", "RecordError", "Struct", "Value", "parse"]

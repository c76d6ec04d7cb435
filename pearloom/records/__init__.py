"""The operator's file: typed records in a form close to CUE, of which JSON is a part."""

from pearloom.records.check import Fields
from pearloom.records.language import RecordError, Struct, Value, parse

__all__ = ["Fields", "RecordError", "Struct", "Value", "parse"]

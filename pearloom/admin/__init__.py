"""Operators' management calls, and the hand-over of an upgrade."""

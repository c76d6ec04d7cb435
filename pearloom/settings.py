"""Reads the decision module's settings and the servers' reports, for both hosts of the module.

The line protocol of `pearloom.wirehost` carries settings as `path=value` pairs, the softswitch reads the same
object as nested JSON: `flatten` turns the second form into the first, so that both get the same settings.
"""

from __future__ import annotations

from pearloom import interface as api

Params = dict[str, str]
_EFFECTS = ("free", "guarded", "single_shot")
_REPORT_NAMES = {
    "idle": "free_lines",
    "circuits": "lines",
    "recent_ms": "wait_ms",
    "reduce": "hold_back",
    "max_rate": "calls_per_s",
}


def flatten(settings: object, path: str = "") -> Params:
    """Turn nested JSON into `path=value` pairs.

    A list of scalars becomes one value joined by commas, another list its count and numbered items."""
    params: Params = {}
    if isinstance(settings, dict):
        for name, value in settings.items():
            params.update(flatten(value, f"{path}.{name}" if path else str(name)))
    elif isinstance(settings, list) and any(isinstance(value, dict | list) for value in settings):
        params[f"{path}.count"] = str(len(settings))
        for number, value in enumerate(settings):
            params.update(flatten(value, f"{path}.{number}"))
    elif isinstance(settings, list):
        params[path] = ",".join(_format_scalar(value) for value in settings)
    else:
        params[path] = _format_scalar(settings)
    return params


def _format_scalar(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "-" if value is None else str(value)


def _number(params: Params, name: str, default: float = 0.0) -> float:
    value = params.get(name, "")
    return float(value) if value not in ("", "-", "none") else default


def _integer(params: Params, name: str, default: int = 0) -> int:
    return round(_number(params, name, default))


def _flag(params: Params, name: str) -> bool:
    return params.get(name) in ("true", "1")


def _cells(text: str) -> tuple[int, ...]:
    return tuple(int(cell) for cell in text.split(",") if cell not in ("", "-", "none"))


def _most_stay_away_us(params: Params) -> int | None:
    """The longest time that a refused caller may be asked to stay away; 0 where callers are sent none."""
    if not _flag(params, "limits.retryAfter"):
        return 0
    return _integer(params, "limits.maxRetryAfterUs") if "limits.maxRetryAfterUs" in params else None


def _check_classes(params: Params) -> int:
    """Return the number of call classes; raise ValueError where another setting does not fit them."""
    count = _integer(params, "services.count")
    pools = _integer(params, "specifics.skilledPools.count")
    if pools > count:
        raise ValueError(f"specifics.skilledPools: {pools} lists for {count} classes, so one is unknown")
    for number in range(count):
        effect = params.get(f"services.{number}.effect", "free")
        if effect not in _EFFECTS:
            raise ValueError(f"services[{number}].effect: {effect!r} is none of {', '.join(_EFFECTS)}")
        if params.get(f"specifics.skilledPools.{number}") == "":
            raise ValueError(f"specifics.skilledPools[{number}]: no pool may take this class")
    return count


def read_settings(params: Params) -> api.Settings:
    """Build `Settings` from `path=value` pairs; unknown paths are ignored, invalid values a ValueError."""
    classes = []
    for number in range(_check_classes(params)):
        prefix = f"services.{number}."
        classes.append(
            api.CallClass(
                aim_us=_integer(params, prefix + "aimUs"),
                deadline_us=_integer(params, prefix + "deadlineUs"),
                worth=_number(params, prefix + "importance", 1.0),
                late_worth=_number(params, prefix + "lateWorth"),
                repeatable=params.get(prefix + "effect", "free") == "free",
                cells=_cells(params.get(f"specifics.skilledPools.{number}", "")),
            )
        )
    tenants = tuple(
        api.Tenant(fraction=_number(params, f"tenants.{number}.fraction"))
        for number in range(_integer(params, "tenants.count"))
    )
    return api.Settings(
        classes=tuple(classes),
        tenants=tenants,
        over_share_worth=_number(params, "overShareWorth", 1.0),
        fleet_size=_integer(params, "fleetSize", 1),
        answer_slack_us=_integer(params, "guarantees.answerSlackUs"),
        cold_share=_number(params, "guarantees.coldShare", 1.0),
        warm_after_us=_integer(params, "guarantees.warmAfterUs"),
        fall_multiple=_number(params, "guarantees.fallMultiple", 1.0),
        fall_us=_integer(params, "guarantees.fallUs"),
        release_us=_integer(params, "specifics.guardUs"),
        resend_us=_integer(params, "specifics.repeatUs"),
        max_attempts=_integer(params, "limits.maxAttempts", 1),
        ask_within_us=_integer(params, "guarantees.askWithinUs"),
        may_cancel=_flag(params, "limits.mayCancel"),
        must_ask=params.get("membershipMode") == "ask",
        marks_redials=_flag(params, "callers.marksRetry"),
        most_stay_away_us=_most_stay_away_us(params),
    )


def read_report(text: str) -> dict[str, float]:
    """Read a server's figures, `name:value` separated by commas or semicolons, by the interface's names."""
    report: dict[str, float] = {}
    for pair in text.replace(";", ",").split(",") if text not in ("-", "") else ():
        name, colon, value = pair.strip().partition(":")
        if colon:
            report[_REPORT_NAMES.get(name, name)] = float(value)
    return report

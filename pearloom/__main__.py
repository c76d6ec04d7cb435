"""One real softswitch: start, SIGTERM, exit code."""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys

import gevent
from gevent.event import Event

from pearloom import interface as api
from pearloom.net.callers import Callers
from pearloom.net.clock import Clock
from pearloom.net.config import Config, ConfigError, read_config
from pearloom.net.coordinator import Coordinator, cached
from pearloom.net.counters import Counters
from pearloom.net.exchange import Exchange
from pearloom.net.logs import configure, note
from pearloom.net.session_servers import SessionServers

# At a planned restart set-ups keep coming for up to 0.4 s on new connections and 0.2 s more on open ones.
STILL_COMING_MS = 900.0
LEAST_DEADLINE_MS = 3000.0
STOP_EARLY_MS = 200.0  # of the 0.7 s that SIGKILL leaves beyond the longest deadline
STOP_LOOK_S = 0.05
GC_YOUNG = 20_000  # objects between collections: nearly all that a call leaves goes by its count
TICK_S = 0.0025  # timers are looked at so often: a wake-up for each of hundreds a second costs more


class Softswitch:
    """The parts of one softswitch, joined."""

    def __init__(self, config: Config, clock: Clock) -> None:
        """Hand the controller the known list before anything else, then listen."""
        self._clock = clock
        self._deadline_ms = max(kind.deadline_us for kind in config.settings.classes) / 1000.0
        self.counters = Counters()
        self.exchange = Exchange(clock, config.settings, config.seed, self.counters, config.round_ms)
        self.callers = Callers(self.exchange, clock, self.counters, config.class_names, config.descriptors)
        self.servers = SessionServers(self.exchange, clock, self.counters, config.dial_timeout_ms)
        self.exchange.attach(self.callers, self.servers)
        self.exchange.told(api.ListKind.CACHED, cached(config.known))
        self.coordinator = Coordinator(config.coordinator, config.known_index, self.exchange, self.counters)

    def start(self, config: Config) -> None:
        """Take calls from now on."""
        self.callers.listen(config.listen)
        self.servers.start()
        self.coordinator.start()
        gevent.spawn(self._keep_time)

    def _keep_time(self) -> None:
        while True:
            self.exchange.run_due()
            gevent.sleep(TICK_S)

    def print_counters(self) -> None:
        """Log what has been counted and what is held."""
        self.counters.print(open_calls=self.exchange.open_calls, standing_calls=self.exchange.standing_calls)

    def stop(self) -> None:
        """Return once nothing is owed any more, or shortly before SIGKILL may come."""
        began = self._clock.now_ms()
        self.callers.stopping = True
        last = max(self._deadline_ms, LEAST_DEADLINE_MS) + 700.0 - STOP_EARLY_MS
        while (gone := self._clock.now_ms() - began) < last:
            if gone >= STILL_COMING_MS and not self.exchange.open_calls + self.exchange.standing_calls:
                break
            gevent.sleep(STOP_LOOK_S)


def main() -> int:
    """Run until SIGTERM."""
    configure()
    try:
        config = read_config(os.environ)
        softswitch = Softswitch(config, Clock())
        softswitch.start(config)
    except ConfigError as trouble:
        print(f"pearloom: {trouble}", file=sys.stderr)
        return 2
    except OSError as trouble:
        print(f"pearloom: can't listen on {config.listen[0]}:{config.listen[1]}: {trouble}", file=sys.stderr)
        return 2
    stop = Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    gevent.signal_handler(signal.SIGUSR1, softswitch.print_counters)
    gc.freeze()
    gc.set_threshold(GC_YOUNG)
    note(logging.INFO, "started", name=config.name, listen=f"{config.listen[0]}:{config.listen[1]}")
    stop.wait()
    note(logging.INFO, "stopping")
    softswitch.stop()
    softswitch.print_counters()
    note(logging.INFO, "stopped")
    return 0


if __name__ == "__main__":
    sys.exit(main())

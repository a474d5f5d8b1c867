//! Metrics of a replica in the OpenMetrics text format.

use crate::replica::Replica;
use std::fmt::Write;

struct Gauge {
    name: &'static str,
    help: &'static str,
    value: u64,
}

/// Renders all metrics. `record_count` is the number of log records written since the start.
pub(super) fn render(replica: &Replica, record_count: u64) -> String {
    let mut text = String::new();
    for gauge in gauges(replica, record_count) {
        let Gauge { name, help, value } = gauge;
        // Writing to a string cannot fail.
        let _ = writeln!(text, "# HELP chalkdeck_keeper_{name} {help}");
        let _ = writeln!(text, "# TYPE chalkdeck_keeper_{name} gauge");
        let _ = writeln!(text, "chalkdeck_keeper_{name} {value}");
    }
    text.push_str("# EOF\n");
    text
}

fn gauges(replica: &Replica, record_count: u64) -> [Gauge; 9] {
    let state = replica.state();
    let gauge = |name, help, value| Gauge { name, help, value };
    let led_elections = state.elections().filter(|e| e.leader > 0).count() as u64;
    [
        gauge(
            "majority",
            "1 while things are agreed on",
            u64::from(replica.has_quorum()),
        ),
        gauge(
            "leads",
            "1 while this keeper leads",
            u64::from(replica.is_leader()),
        ),
        gauge(
            "outdated",
            "1 when its disk is older than what it took part in",
            u64::from(replica.is_outdated()),
        ),
        gauge(
            "configuration",
            "number of the configuration",
            u64::from(replica.configuration()),
        ),
        gauge("applied", "commands applied", state.index),
        gauge("version", "version of what gateways watch", state.version),
        gauge(
            "sessions",
            "sessions that stand",
            state.sessions().count() as u64,
        ),
        gauge("duties_held", "duties with a holder", led_elections),
        gauge("records", "records written since the start", record_count),
    ]
}

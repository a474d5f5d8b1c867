//! HTTP requests to the admin port: metrics, health and the hottest names.

use super::Server;
use crate::hot_names::SAMPLING_INTERVAL;
use chalkdeck_net::ConnId;
use std::fmt::Write;

/// Number of names that `/top` lists.
const MAX_LISTED_NAMES: usize = 20;
/// HTTP status of a successful request.
const OK: u16 = 200;
/// HTTP status of an unknown path.
const NOT_FOUND: u16 = 404;
/// HTTP status of `/healthz` while the log is closed.
const SERVICE_UNAVAILABLE: u16 = 503;

impl Server {
    pub(super) fn on_get(&mut self, connection: ConnId, path: &str) {
        match path {
            "/metrics" => {
                let epoch = self.identity.epoch;
                let text = self.metrics.text(&self.state, epoch, self.pending.len());
                self.engine.reply(connection, OK, &text);
            }
            "/healthz" if self.is_log_closed => self.engine.reply(
                connection,
                SERVICE_UNAVAILABLE,
                "the log is closed; start again\n",
            ),
            "/healthz" => self.engine.reply(connection, OK, "ok\n"),
            "/top" => {
                let text = self.hot_names_text();
                self.engine.reply(connection, OK, &text);
            }
            _ => self.engine.reply(
                connection,
                NOT_FOUND,
                "expected /metrics, /healthz or /top\n",
            ),
        }
    }

    fn hot_names_text(&self) -> String {
        let sketch = self.hot_name_sampler.sketch();
        let mut text = format!(
            "# name adds, one in {SAMPLING_INTERVAL} looked at (at most {} too many)\n",
            sketch.max_error()
        );
        for hot in sketch.hottest(MAX_LISTED_NAMES) {
            // Writing to a string does not fail.
            let _ = writeln!(text, "{:016x} {}", hot.name.0, hot.count);
        }
        text
    }
}

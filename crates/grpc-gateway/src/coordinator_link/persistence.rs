//! Persists the shared state in the cache file, from which a gateway restarts when it can reach no replica.

use super::CoordinatorLink;
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use chalkdeck_time::{TimeDelta, Timestamp};

/// The delay after a failed write until the whole state is written again.
const RETRY_DELAY: TimeDelta = TimeDelta::from_secs(1);

impl CoordinatorLink {
    /// Writes a change of the state to the cache file, and reports the persisted version to the agent.
    pub(super) fn persist(&mut self, now: Timestamp, change: &wire::WatchEvent) {
        let Some(cache_file) = &mut self.cache_file else {
            return;
        };
        let state = self.agent.session().state();
        let version = state.version;
        match cache_file.write(change, state) {
            Ok(()) => {
                self.persist_retry_at = None;
                self.agent.on_state_persisted(now, version);
            }
            Err(error) => {
                if self.persist_retry_at.is_none() {
                    tracing::error!(%error, "cached state not persisted");
                }
                self.persist_retry_at = Some(now + RETRY_DELAY);
            }
        }
    }

    /// Writes the whole state again if an earlier write failed and its retry is due.
    pub(super) fn retry_persist(&mut self, now: Timestamp) {
        if self.persist_retry_at.is_none_or(|retry_at| now < retry_at) {
            return;
        }
        let whole_state = wire::WatchEvent {
            whole: true,
            ..wire::WatchEvent::default()
        };
        self.persist(now, &whole_state);
    }
}

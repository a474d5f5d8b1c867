//! Pushes watch events, the changes of the replicated state, to sessions.

use super::Replica;
use crate::ids::RequesterId;
use crate::protocol::{ServerMessage, WatchEvent};

impl Replica {
    /// Sends each session the changes since the version that it was last sent.
    pub(super) fn notify_watchers(&mut self) {
        let version = self.state.version;
        let work = self.state.pending_work();
        // The last created event and the version that it starts from. It is reused for sessions at the same version.
        let mut last_event: Option<(u64, WatchEvent)> = None;
        for requester in self.outdated_watchers() {
            let Some(stream) = self.streams.get_mut(&requester) else {
                continue;
            };
            let since = std::mem::replace(&mut stream.sent_version, version);
            stream.sent_work = work;
            let event = match last_event.take() {
                Some((last_since, event)) if last_since == since => event,
                _ => self.state.events_since(since),
            };
            let message = ServerMessage {
                event: Some(event.clone()),
                ..ServerMessage::default()
            };
            last_event = Some((since, event));
            self.send_to_gateway(requester, message);
        }
    }

    /// Open session streams that were not sent the current state, ordered by id.
    fn outdated_watchers(&self) -> Vec<RequesterId> {
        let version = self.state.version;
        let work = self.state.pending_work();
        let outdated = self.streams.iter().filter(|(_, stream)| {
            stream.is_open() && (stream.sent_version < version || stream.sent_work != work)
        });
        let mut requesters: Vec<RequesterId> = outdated.map(|(requester, _)| *requester).collect();
        requesters.sort_unstable();
        requesters
    }
}

//! Handles the events of the event loop that concern the coordinator, and executes the agent's actions.

use super::connection::loop_time;
use super::CoordinatorStatus;
use crate::base::listed_endpoint::ListedEndpoint;
use crate::gateway_server::{GatewayServer, TimerPurpose};
use chalkdeck_coordinator::agent::AgentAction;
use chalkdeck_net::{ConnId, StreamId};

/// The interval at which the agent's clock is advanced.
const TICK_INTERVAL_MICROS: u64 = 20_000;

/// Whether the peer can send more on a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamProgress {
    /// It can send more.
    Open,
    /// The peer has ended the stream, or the stream was reset.
    Ended,
}

impl StreamProgress {
    /// `is_ended`: the head of the response has ended the stream.
    pub(crate) fn from_ended(is_ended: bool) -> StreamProgress {
        if is_ended {
            StreamProgress::Ended
        } else {
            StreamProgress::Open
        }
    }
}

impl GatewayServer {
    /// Advances the agent's clock, and retries a failed write of the cache file if it is due.
    pub(crate) fn tick_coordinator(&mut self) {
        let now = self.now();
        let Some(link) = &mut self.coordinator else {
            return;
        };
        link.retry_persist(now);
        link.agent.tick(now);
        self.set_timer(TICK_INTERVAL_MICROS, TimerPurpose::CoordinatorTick);
        self.execute_coordinator_actions();
    }

    /// Executes the agent's actions until there are no more.
    fn execute_coordinator_actions(&mut self) {
        while let Some(link) = &mut self.coordinator {
            let actions = link.agent.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.execute_coordinator_action(action);
            }
        }
    }

    fn execute_coordinator_action(&mut self, action: AgentAction) {
        let Some(link) = &mut self.coordinator else {
            return;
        };
        let engine = &mut self.engine;
        match action {
            AgentAction::Connect(replica_index) => link.connect(engine, replica_index),
            AgentAction::Send(message) => link.send(engine, &message),
            AgentAction::Persist(change) => link.persist(loop_time(engine), &change),
            AgentAction::RecheckStreams(customers) => self.abort_denied_streams(Some(&customers)),
            AgentAction::RecheckAllStreams => self.abort_denied_streams(None),
            AgentAction::ContractsChanged => self.reapply_endpoint_list(),
            AgentAction::ApplySiteOverride(site_override) => {
                self.apply_site_override(&site_override.site, &site_override.action);
            }
        }
    }

    /// Applies the last endpoint list again, since other contract versions are admitted now.
    fn reapply_endpoint_list(&mut self) {
        let Some(link) = &mut self.coordinator else {
            return;
        };
        // Applying the list stores it in the link again.
        let endpoints = std::mem::take(&mut link.listed_endpoints);
        if !endpoints.is_empty() {
            self.apply_endpoint_list(endpoints);
        }
    }

    /// Marks endpoints whose contract version was not admitted as draining.
    pub(crate) fn hold_back_endpoints(&mut self, endpoints: &mut [ListedEndpoint]) {
        if let Some(link) = &mut self.coordinator {
            link.hold_back(endpoints);
        }
    }

    /// A connection is established. Returns whether it is the one to the coordinator.
    pub(crate) fn on_coordinator_connected(&mut self, conn: ConnId) -> bool {
        let Some(link) = &mut self.coordinator else {
            return false;
        };
        if link.conn != Some(conn) {
            return false;
        }
        link.open_session_stream(&mut self.engine, conn);
        self.execute_coordinator_actions();
        true
    }

    /// A connection is closed. Returns whether it is the one to the coordinator.
    pub(crate) fn on_coordinator_closed(&mut self, conn: ConnId) -> bool {
        let Some(link) = &mut self.coordinator else {
            return false;
        };
        if link.conn != Some(conn) {
            return false;
        }
        link.abandon_connection(&mut self.engine);
        self.execute_coordinator_actions();
        true
    }

    /// The head of a response was received. Returns whether it belongs to the session's stream.
    pub(crate) fn on_coordinator_head(
        &mut self,
        stream: StreamId,
        progress: StreamProgress,
    ) -> bool {
        let Some(link) = &mut self.coordinator else {
            return false;
        };
        if link.stream != Some(stream) {
            return false;
        }
        match progress {
            StreamProgress::Open => link.agent.on_stream_accepted(loop_time(&self.engine)),
            StreamProgress::Ended => link.abandon_connection(&mut self.engine),
        }
        self.execute_coordinator_actions();
        true
    }

    /// Bytes of a stream were received. Returns whether it is the session's stream.
    pub(crate) fn on_coordinator_data(
        &mut self,
        stream: StreamId,
        data: &[u8],
        progress: StreamProgress,
    ) -> bool {
        let Some(link) = &mut self.coordinator else {
            return false;
        };
        if link.stream != Some(stream) {
            return false;
        }
        self.engine.consume(stream, data.len());
        link.receive(&mut self.engine, data);
        if progress == StreamProgress::Ended && link.stream == Some(stream) {
            link.abandon_connection(&mut self.engine);
        }
        self.execute_coordinator_actions();
        true
    }

    /// Resigns all leaderships when a shutdown begins, so that other gateways can lead at once. The session stays open, since open
    /// calls may still need it.
    pub(crate) fn resign_leaderships(&mut self) {
        if let Some(link) = &mut self.coordinator {
            link.agent.resign();
        }
        self.execute_coordinator_actions();
    }

    /// Closes the session when the shutdown is complete.
    pub(crate) fn close_coordinator_session(&mut self) {
        if let Some(link) = &mut self.coordinator {
            link.agent.close();
        }
        self.execute_coordinator_actions();
    }

    /// Whether the gateway has the shared state, without which it admits no call. Always true if there is no coordinator.
    pub(crate) fn has_shared_state(&self) -> bool {
        self.coordinator
            .as_ref()
            .is_none_or(|link| link.agent.has_state())
    }

    /// The status that the admin port serves under `/keepers`; `None`: the settings name no coordinator.
    pub(crate) fn coordinator_status(&self) -> Option<CoordinatorStatus> {
        let link = self.coordinator.as_ref()?;
        Some(link.status(self.now()))
    }
}

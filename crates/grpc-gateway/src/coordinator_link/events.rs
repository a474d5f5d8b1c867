//! Events of the loop that concern the coordinator, and the agent's actions carried out.

use super::connection::loop_time;
use super::CoordinatorStatus;
use crate::base::listed_endpoint::ListedEndpoint;
use crate::gateway_server::{GatewayServer, TimerPurpose};
use chalkdeck_coordinator::agent::AgentAction;
use chalkdeck_net::{ConnId, StreamId};

/// How often the agent's clock is advanced, in microseconds.
const TICK_INTERVAL: u64 = 20_000;

/// Whether more can follow on a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamProgress {
    /// More can follow.
    Open,
    /// The other side has ended the stream, or it was reset.
    Ended,
}

impl StreamProgress {
    /// By the flag that comes with the head of a response.
    pub(crate) fn from_ended(ended: bool) -> StreamProgress {
        if ended {
            StreamProgress::Ended
        } else {
            StreamProgress::Open
        }
    }
}

impl GatewayServer {
    /// Advances the agent's clock and retries a failed write of the state.
    pub(crate) fn tick_coordinator(&mut self) {
        let now = self.now();
        let Some(link) = &mut self.coordinator else {
            return;
        };
        link.retry_persist(now);
        link.agent.tick(now);
        self.set_timer(TICK_INTERVAL, TimerPurpose::CoordinatorTick);
        self.run_coordinator_actions();
    }

    /// Carries out the agent's actions until none follows.
    fn run_coordinator_actions(&mut self) {
        while let Some(link) = &mut self.coordinator {
            let actions = link.agent.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.run_coordinator_action(action);
            }
        }
    }

    fn run_coordinator_action(&mut self, action: AgentAction) {
        let Some(link) = &mut self.coordinator else {
            return;
        };
        let engine = &mut self.engine;
        match action {
            AgentAction::Connect(replica_index) => link.connect(engine, replica_index),
            AgentAction::Send(message) => link.send(engine, &message),
            AgentAction::Persist(change) => link.persist(loop_time(engine), &change),
            AgentAction::RecheckStreams(customers) => self.end_denied_streams(Some(&customers)),
            AgentAction::RecheckAllStreams => self.end_denied_streams(None),
            AgentAction::ContractsChanged => self.reapply_endpoint_list(),
            AgentAction::ApplySiteOverride(site_override) => {
                self.apply_site_override(&site_override.site, &site_override.action);
            }
        }
    }

    /// Takes over the last list once more, as contract versions were admitted or withdrawn.
    fn reapply_endpoint_list(&mut self) {
        let Some(link) = &mut self.coordinator else {
            return;
        };
        // It is remembered again as it is taken over.
        let listed = std::mem::take(&mut link.listed);
        if !listed.is_empty() {
            self.apply_endpoint_list(listed);
        }
    }

    /// Marks endpoints that must not get new requests as draining; see `contracts`.
    pub(crate) fn hold_back_endpoints(&mut self, servers: &mut [ListedEndpoint]) {
        if let Some(link) = &mut self.coordinator {
            link.hold_back(servers);
        }
    }

    /// A connection is established. Returns whether it is the one to a replica.
    pub(crate) fn on_coordinator_connected(&mut self, conn: ConnId) -> bool {
        let Some(link) = &mut self.coordinator else {
            return false;
        };
        if link.conn != Some(conn) {
            return false;
        }
        link.open_session_stream(&mut self.engine, conn);
        self.run_coordinator_actions();
        true
    }

    /// A connection is closed. Returns whether it is the one to a replica.
    pub(crate) fn on_coordinator_closed(&mut self, conn: ConnId) -> bool {
        let Some(link) = &mut self.coordinator else {
            return false;
        };
        if link.conn != Some(conn) {
            return false;
        }
        link.abandon_connection(&mut self.engine);
        self.run_coordinator_actions();
        true
    }

    /// The head of a response has arrived. Returns whether it is that of the session's stream.
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
        self.run_coordinator_actions();
        true
    }

    /// Bytes of a stream have arrived. Returns whether it is the session's stream.
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
        self.run_coordinator_actions();
        true
    }

    /// A shutdown begins: other gateways may lead at once; the session stays as long as calls may need it.
    pub(crate) fn resign_leaderships(&mut self) {
        if let Some(link) = &mut self.coordinator {
            link.agent.resign();
        }
        self.run_coordinator_actions();
    }

    /// The gateway ends.
    pub(crate) fn close_coordinator_session(&mut self) {
        if let Some(link) = &mut self.coordinator {
            link.agent.close();
        }
        self.run_coordinator_actions();
    }

    /// Whether calls can be admitted as far as the shared state is concerned.
    pub(crate) fn has_shared_state(&self) -> bool {
        self.coordinator
            .as_ref()
            .is_none_or(|link| link.agent.has_state())
    }

    /// The status for `/keepers`; `None`: the settings name no coordinator.
    pub(crate) fn coordinator_status(&self) -> Option<CoordinatorStatus> {
        let link = self.coordinator.as_ref()?;
        Some(link.status(self.now()))
    }
}

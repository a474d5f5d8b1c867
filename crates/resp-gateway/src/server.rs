//! The gateway server: turns socket and timer events into events of the decision engine and executes the engine's actions. Only the engine
//! decides what is sent, rejected, failed, retried or cancelled.

mod actions;
mod counter_calls;
mod endpoint_updates;
mod event_loop;
mod lifecycle;
mod requests;
mod shed_connections;
mod start;

pub use start::StartError;

use crate::abandoned_ids::AbandonedIds;
use crate::attempt::AttemptId;
use crate::clock;
use crate::config::Config;
use crate::counter_client::CounterClient;
use crate::discovery::{CallId, Discovery, DiscoveryMetrics};
use crate::endpoint_connections::EndpointConnections;
use crate::request::ApiCommand;
use crate::sessions::Sessions;
use bytes::Bytes;
use chalkdeck::api::{RequestId, TimerId};
use chalkdeck::DecisionQueue;
use chalkdeck_net::timer_queue::{TimerQueue, TimerToken};
use chalkdeck_net::{ConnId, Engine, Event as NetEvent, ListenerId};
use chalkdeck_resp::ReplySlot;
use chalkdeck_time::Timestamp;
use rustc_hash::FxHashMap;
use shed_connections::ShedConnections;
use std::net::SocketAddr;

/// What happens when a timer of the event loop fires.
enum TimerPurpose {
    /// The decision engine is notified of its timer.
    Decision(TimerId),
    /// The attempt is aborted if it is still open.
    AttemptDeadline(AttemptId),
    /// The connection to an endpoint or the counter is closed if it is not established.
    DialTimeout(ConnId),
    /// Calls to the counter whose deadline has passed are ended.
    CounterTimeout,
    /// The discovery client reconnects if this call is still the current one.
    DiscoveryTimeout(CallId),
    /// Connections are checked for time-outs.
    Sweep,
    /// The next step of a shutdown is taken.
    Shutdown,
}

/// A request that has no final reply yet.
struct OpenRequest {
    /// The connection of its client.
    conn: ConnId,
    slot: ReplySlot,
    command: ApiCommand,
    /// What it takes of the memory budget.
    memory_bytes: usize,
    /// The number of attempts so far.
    attempt_count: usize,
}

impl OpenRequest {
    /// Whether an attempt may have run, so that it must not run again.
    fn may_have_effect(&self) -> bool {
        self.attempt_count > 0 && !self.command.is_idempotent()
    }
}

/// A running gateway.
pub struct GatewayServer {
    engine: Engine,
    decisions: DecisionQueue,
    config: Config,
    listener: ListenerId,
    /// Whether the listener still accepts connections.
    is_listening: bool,
    listen_address: SocketAddr,
    timers: TimerQueue<TimerPurpose>,
    /// The timers of the deadlines of open attempts.
    attempt_timers: FxHashMap<AttemptId, TimerToken>,
    /// The timers that the decision engine has set.
    decision_timers: FxHashMap<TimerId, TimerToken>,
    sessions: Sessions,
    /// How many further commands are handled before the sockets are polled again.
    commands_left_in_turn: usize,
    shed_connections: ShedConnections,
    requests: FxHashMap<RequestId, OpenRequest>,
    /// Open requests by the ids that their clients chose.
    requests_by_client_id: FxHashMap<Bytes, RequestId>,
    /// The ids of requests whose clients have left while an attempt may have run.
    abandoned_ids: AbandonedIds,
    /// The id of the request that was opened last; ids are consecutive.
    last_request: RequestId,
    endpoints: EndpointConnections,
    counter: Option<CounterClient>,
    /// Whether a timer for the next deadline of a counter call is set.
    is_counter_timer_set: bool,
    discovery: Discovery,
    /// The buffer for the socket events of one turn, kept to reuse its allocation.
    net_events: Vec<NetEvent>,
    /// When the shutdown was requested.
    shutdown_requested_at: Option<Timestamp>,
}

impl GatewayServer {
    /// The address that the gateway listens at.
    pub fn listen_address(&self) -> SocketAddr {
        self.listen_address
    }

    /// Metrics of the discovery client: the age of the endpoint list, and the calls that timed out, failed or were answered late.
    pub fn discovery_metrics(&self) -> DiscoveryMetrics {
        self.discovery.metrics(clock::now(&self.engine))
    }
}

//! A running gateway: events of the decision module are raised from what happened on its sockets, and the module's actions are carried
//! out. Nothing is sent, rejected, failed, retried or cancelled here that the module did not decide.

mod actions;
mod counter_calls;
mod endpoint_updates;
mod event_loop;
mod lifecycle;
mod requests;
mod start;

pub use start::StartError;

use crate::attempt::AttemptId;
use crate::config::Config;
use crate::counter_client::CounterClient;
use crate::discovery::{CallId, Discovery};
use crate::endpoint_connections::EndpointConnections;
use crate::request::ApiCommand;
use crate::sessions::Sessions;
use bytes::Bytes;
use chalkdeck::api::{RequestId, TimerId};
use chalkdeck::DecisionQueue;
use chalkdeck_net::timer_queue::TimerQueue;
use chalkdeck_net::{ConnId, Engine, Event as NetEvent, ListenerId};
use chalkdeck_resp::ReplySlot;
use chalkdeck_time::Timestamp;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;

/// What a timer of the loop is for.
enum TimerPurpose {
    /// A timer of the decision module.
    Decision(TimerId),
    /// An attempt is aborted.
    AttemptDeadline(AttemptId),
    /// A connection to an endpoint or the counter must be established.
    DialTimeout(ConnId),
    /// Calls to the counter may have timed out.
    CounterTimeout,
    /// A discovery call may have timed out.
    DiscoveryTimeout(CallId),
    /// Connections are checked for time-outs.
    Sweep,
    /// A shutdown may go on.
    Shutdown,
}

/// A request without its final reply.
struct OpenRequest {
    /// The connection of its client.
    conn: ConnId,
    slot: ReplySlot,
    command: ApiCommand,
    /// Bytes that its command holds.
    command_bytes: usize,
    /// The number of attempts so far.
    attempts: usize,
}

/// A running gateway.
pub struct GatewayServer {
    engine: Engine,
    decisions: DecisionQueue,
    config: Config,
    listener: ListenerId,
    /// The listener still accepts connections.
    is_listening: bool,
    local_address: SocketAddr,
    timers: TimerQueue<TimerPurpose>,
    sessions: Sessions,
    requests: FxHashMap<RequestId, OpenRequest>,
    /// Open requests by the ids that clients gave them.
    requests_by_client_id: FxHashMap<Bytes, RequestId>,
    /// The id of the request that was opened last.
    last_request: RequestId,
    endpoints: EndpointConnections,
    counter: Option<CounterClient>,
    /// A timer for the next call to the counter that times out is set.
    has_counter_timer: bool,
    discovery: Discovery,
    /// Buffer for the events of one turn.
    net_events: Vec<NetEvent>,
    /// When the shutdown was requested.
    shutdown_since: Option<Timestamp>,
}

impl GatewayServer {
    /// The address at which clients connect.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }
}

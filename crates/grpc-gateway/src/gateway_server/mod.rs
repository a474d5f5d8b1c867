//! One gateway on real sockets: what happens there is raised as events of the decisions, and each action that follows is carried
//! out. Nothing is sent, rejected, failed, retried or cancelled that was not decided there; only a client's own deadline on a
//! response that has started is handled as the client's cancellation.

mod admin;
mod counter_calls;
mod endpoint_list;
mod event_loop;
mod reload;
mod shutdown;
mod startup;
mod timers;

pub(crate) use timers::TimerPurpose;

use crate::base::settings::Settings;
use crate::calls::Calls;
use crate::coordinator_link::CoordinatorLink;
use crate::counter_client::CounterClient;
use crate::endpoint_connections::EndpointConnections;
use crate::fault::{Fault, Leaked};
use crate::metrics::Metrics;
use crate::request_queue::RequestQueue;
use crate::resp::Resp;
use crate::sites::SiteMonitor;
use chalkdeck::api::EndpointId;
use chalkdeck::DecisionQueue;
use chalkdeck_net::file_watch::FileWatch;
use chalkdeck_net::timer_queue::TimerQueue;
use chalkdeck_net::{Engine, Event as NetEvent, ListenerId};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A running gateway.
pub struct GatewayServer {
    pub(crate) engine: Engine,
    pub(crate) decisions: DecisionQueue,
    pub(crate) settings: Settings,
    /// Where settings are read again from.
    settings_file: Option<PathBuf>,
    listener: ListenerId,
    listen_address: SocketAddr,
    admin_address: Option<SocketAddr>,
    pub(crate) calls: Calls,
    pub(crate) counter: Option<CounterClient>,
    pub(crate) resp: Option<Resp>,
    pub(crate) request_queue: Option<RequestQueue>,
    pub(crate) sites: Option<SiteMonitor>,
    pub(crate) coordinator: Option<CoordinatorLink>,
    pub(crate) endpoint_connections: EndpointConnections,
    /// Watches the file of the endpoint list.
    endpoint_file: FileWatch,
    pub(crate) metrics: Metrics,
    timers: TimerQueue<TimerPurpose>,
    /// Events of one turn; kept for its allocation.
    events: Vec<NetEvent>,
    /// When a shutdown ends at the latest, by the loop's clock; `None`: none has begun.
    shutdown_deadline: Option<u64>,
    pub(crate) fault: Option<Fault>,
    /// What [`Fault::Leak`] has left behind.
    pub(crate) leaked: Vec<Leaked>,
    /// Whether settings were reloaded, for [`Fault::Shut`].
    pub(crate) has_reloaded: bool,
    /// Whether the timer of the next counter call's time-out is set.
    is_counter_timer_set: bool,
    /// The endpoint that gets all attempts under [`Fault::Cold`].
    pub(crate) freshest: Option<EndpointId>,
}

impl GatewayServer {
    /// Injects a fault, for audits that must find it.
    pub fn inject(&mut self, fault: Fault) {
        tracing::warn!(
            ?fault,
            "fault injection is on: safety rules will be violated"
        );
        self.fault = Some(fault);
    }

    /// The address that accepts calls.
    pub fn listen(&self) -> SocketAddr {
        self.listen_address
    }

    /// The address of the admin port.
    pub fn admin(&self) -> Option<SocketAddr> {
        self.admin_address
    }

    /// The number of calls without their final answer.
    pub fn open_calls(&self) -> usize {
        self.calls.open
    }

    /// The metrics as the admin port serves them.
    pub fn metrics(&self) -> String {
        self.metrics.text()
    }
}

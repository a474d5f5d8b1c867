//! A gateway on real sockets: it passes events to the decision engine and executes the resulting actions. The engine decides
//! whether a call is sent, retried, rejected, failed or cancelled. The gateway itself rejects only invalid calls, calls that access
//! rules deny and calls that the admission queue rejects. It aborts open calls if their deadline passes after the response has
//! started, if a change of the access rules denies a stream, or at the end of a shutdown, and reports these to the engine as
//! cancelled by the client.

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
use crate::resp::RespPort;
use crate::sites::SiteMonitor;
use chalkdeck::api::{EndpointId, TimerId};
use chalkdeck::DecisionQueue;
use chalkdeck_net::file_watch::FileWatch;
use chalkdeck_net::timer_queue::{TimerQueue, TimerToken};
use chalkdeck_net::{Engine, Event as NetEvent, ListenerId};
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A running gateway.
pub struct GatewayServer {
    pub(crate) engine: Engine,
    pub(crate) decisions: DecisionQueue,
    pub(crate) settings: Settings,
    /// The file that a reload reads; `None`: settings can't be reloaded.
    settings_file: Option<PathBuf>,
    listener: ListenerId,
    listen_address: SocketAddr,
    admin_address: Option<SocketAddr>,
    pub(crate) calls: Calls,
    pub(crate) counter: Option<CounterClient>,
    pub(crate) resp: Option<RespPort>,
    pub(crate) request_queue: Option<RequestQueue>,
    pub(crate) sites: Option<SiteMonitor>,
    pub(crate) coordinator: Option<CoordinatorLink>,
    pub(crate) endpoint_connections: EndpointConnections,
    /// Watches the file of the endpoint list.
    endpoint_list_watch: FileWatch,
    pub(crate) metrics: Metrics,
    pub(crate) timers: TimerQueue<TimerPurpose>,
    /// The timers that the decision engine has set.
    decision_timers: FxHashMap<TimerId, TimerToken>,
    /// Buffer for the events of one turn, reused to avoid allocations.
    events: Vec<NetEvent>,
    /// When a shutdown ends at the latest, in microseconds of the loop's clock; `None`: none is in progress.
    shutdown_deadline: Option<u64>,
    pub(crate) fault: Option<Fault>,
    /// The resources that [`Fault::Leak`] has leaked.
    pub(crate) leaked: Vec<Leaked>,
    /// Whether settings were reloaded, for [`Fault::Shut`].
    pub(crate) has_reloaded: bool,
    /// Whether the timer of the next counter time-out is set.
    is_counter_timer_set: bool,
    /// The endpoint that receives all attempts under [`Fault::Cold`].
    pub(crate) newest_endpoint: Option<EndpointId>,
}

impl GatewayServer {
    /// Injects a fault that the audits have to detect.
    pub fn inject_fault(&mut self, fault: Fault) {
        tracing::warn!(
            ?fault,
            "fault injection is on: safety rules will be violated"
        );
        self.fault = Some(fault);
    }

    /// The address that accepts calls.
    pub fn listen_address(&self) -> SocketAddr {
        self.listen_address
    }

    /// The address of the admin port.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin_address
    }

    /// The number of calls without a final answer.
    pub fn open_call_count(&self) -> usize {
        self.calls.open_count
    }

    /// The metrics in the text format of the admin port.
    pub fn metrics_text(&self) -> String {
        self.metrics.text()
    }
}

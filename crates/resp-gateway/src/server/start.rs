//! Starts a gateway.

use super::lifecycle::longest_deadline;
use super::shed_connections::ShedConnections;
use super::{GatewayServer, TimerPurpose};
use crate::abandoned_ids::AbandonedIds;
use crate::config::Config;
use crate::counter_client::CounterClient;
use crate::discovery::{Discovery, Timing, MAX_DISCOVERY_CONNECTIONS};
use crate::endpoint_connections::EndpointConnections;
use crate::memory_plan::MemoryPlan;
use crate::sessions::Sessions;
use chalkdeck::api::{RequestId, SettingsError};
use chalkdeck::{DecisionEngine, DecisionQueue};
use chalkdeck_net::clock::Clock;
use chalkdeck_net::timer_queue::TimerQueue;
use chalkdeck_net::{Engine, Limits};
use rustc_hash::FxHashMap;
use std::io;
use std::net::SocketAddr;

/// File descriptors reserved for the event loop, logs, the listener, discovery and the counter at its old and its new address.
const RESERVED_DESCRIPTORS: usize = 32;
/// The minimum number of connections to clients, endpoints and discovery, however few descriptors are granted.
const MIN_CONNECTIONS: usize = 24;
/// The share of client connections among them, in percent; the others are for endpoints and for discovery calls beside the first.
const CLIENT_PERCENT: usize = 55;
/// Client connections that are accepted beyond the limit, so that a new one can replace an idle one.
const EXTRA_CLIENT_CONNECTIONS: usize = RESERVED_DESCRIPTORS / 4;

/// Why a gateway fails to start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// The operating system provides no poll handle.
    #[error("no poll handle: {0}")]
    #[diagnostic(
        code(chalkdeck::platform::poll),
        help("see the limit of descriptors (ulimit -n)")
    )]
    Poll(io::Error),
    /// The address for clients cannot be bound.
    #[error("cannot listen at {address}: {source}")]
    #[diagnostic(
        code(chalkdeck::platform::listen),
        help(
            "see whether another process listens there, and whether the address is this machine's"
        )
    )]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// Settings that contradict each other.
    #[error("settings: {0}")]
    #[diagnostic(
        code(chalkdeck::platform::settings),
        help("see what the platform tells its gateways")
    )]
    Settings(#[from] SettingsError),
}

/// The maximum numbers of connections to clients and to endpoints.
struct ConnectionLimits {
    clients: usize,
    endpoints: usize,
}

impl ConnectionLimits {
    fn new(descriptors: usize) -> ConnectionLimits {
        let connections = descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_CONNECTIONS);
        let clients = connections * CLIENT_PERCENT / 100;
        // One connection to discovery is among the reserved descriptors.
        let discovery = MAX_DISCOVERY_CONNECTIONS - 1;
        ConnectionLimits {
            clients,
            endpoints: connections - clients - discovery,
        }
    }
}

impl GatewayServer {
    /// Starts a gateway: binds the listener and connects to discovery.
    ///
    /// # Errors
    /// [`StartError`]: the address cannot be bound, the system provides no poll handle, or the settings contradict each other.
    pub fn start(config: Config) -> Result<GatewayServer, StartError> {
        GatewayServer::start_with_clock(config, Clock::start())
    }

    /// Starts a gateway with the caller's clock.
    ///
    /// # Errors
    /// As [`GatewayServer::start`].
    pub fn start_with_clock(mut config: Config, clock: Clock) -> Result<GatewayServer, StartError> {
        let initial_endpoints = config.initial_endpoints.take();
        let mut server = GatewayServer::bind(config, clock)?;
        if let Some(list) = initial_endpoints {
            server.apply_endpoint_update(list);
        }
        let action = server.discovery.connect(&mut server.engine);
        server.execute_discovery_action(action);
        server.set_sweep_timer();
        server.execute_actions();
        Ok(server)
    }

    fn bind(mut config: Config, clock: Clock) -> Result<GatewayServer, StartError> {
        let discovery_timing = Timing::new(config.drain_grace);
        config.named_settings.settings.max_list_age = Some(discovery_timing.max_list_age);
        let memory = MemoryPlan::new(&config.limits);
        config.named_settings.settings.max_customers = Some(memory.max_customers);
        let mut engine = Engine::with_clock(clock).map_err(StartError::Poll)?;
        let limits = ConnectionLimits::new(config.limits.sockets);
        let sessions = Sessions::new(limits.clients, memory.sessions);
        engine.set_read_bytes_per_turn(memory.reads_per_turn);
        let listen_limits = Limits {
            max_connections: limits.clients + EXTRA_CLIENT_CONNECTIONS,
            read_bytes: sessions.read_bytes(),
            ..Limits::default()
        };
        let address = config.listen;
        let (listener, listen_address) = engine
            .listen_plain(address, listen_limits)
            .map_err(|source| StartError::Listen { address, source })?;
        let decision_engine = DecisionEngine::new(config.seed, config.settings().clone())?;
        let counter_timeout = config.settings().counter_timeout;
        Ok(GatewayServer {
            engine,
            decisions: DecisionQueue::new(decision_engine),
            listener,
            is_listening: true,
            listen_address,
            timers: TimerQueue::<TimerPurpose>::default(),
            attempt_timers: FxHashMap::default(),
            decision_timers: FxHashMap::default(),
            sessions,
            commands_left_in_turn: 0,
            shed_connections: ShedConnections::default(),
            requests: FxHashMap::default(),
            requests_by_client_id: FxHashMap::default(),
            abandoned_ids: AbandonedIds::new(longest_deadline(config.settings())),
            last_request: RequestId(0),
            endpoints: EndpointConnections::new(
                limits.endpoints,
                memory.reply_value,
                memory.partial_replies,
                config.endpoint_idle_timeout,
            ),
            counter: config.counter.map(|address| {
                CounterClient::new(address, counter_timeout, memory.max_counter_calls)
            }),
            is_counter_timer_set: false,
            discovery: Discovery::new(config.discovery, discovery_timing, memory.discovery),
            net_events: Vec::new(),
            shutdown_requested_at: None,
            config,
        })
    }
}

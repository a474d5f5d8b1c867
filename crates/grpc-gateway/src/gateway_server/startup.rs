//! Starts a gateway: binds the sockets, reads its files and creates its components.

use super::GatewayServer;
use crate::base::errors::StartError;
use crate::base::settings::Settings;
use crate::calls::Calls;
use crate::coordinator_link::CoordinatorLink;
use crate::counter_client::CounterClient;
use crate::endpoint_connections::EndpointConnections;
use crate::metrics::Metrics;
use crate::request_queue::RequestQueue;
use crate::resp::RespPort;
use crate::sites::SiteMonitor;
use chalkdeck::api::Timestamp;
use chalkdeck::{DecisionEngine, DecisionQueue};
use chalkdeck_net::file_watch::FileWatch;
use chalkdeck_net::timer_queue::TimerQueue;
use chalkdeck_net::Engine;
use rustc_hash::FxHashMap;
use std::path::PathBuf;

impl GatewayServer {
    /// Binds the sockets and reads the endpoint list. `settings_file`: the file that a reload reads. `seed`: the seed of the
    /// decision engine's random numbers. `shared`: other instances listen at the same addresses.
    ///
    /// # Errors
    /// See [`StartError`].
    pub fn start(
        settings: Settings,
        settings_file: Option<PathBuf>,
        seed: u64,
        shared: bool,
    ) -> Result<GatewayServer, StartError> {
        let mut engine = Engine::new().map_err(StartError::Poll)?;
        let mut bind = |address, http1| {
            let bound = engine.listen(address, settings.client_limits, shared, http1);
            bound.map_err(|source| StartError::Listen { address, source })
        };
        let (listener, listen_address) = bind(settings.listen, false)?;
        let admin_address = match settings.admin {
            Some(address) => Some(bind(address, true)?.1),
            None => None,
        };
        let decision_engine = DecisionEngine::new(seed, settings.policy.clone())?;
        let resp = start_resp(&mut engine, &settings)?;
        let counter = CounterClient::new(&settings.counter_addresses, engine.now());
        let now = Timestamp::from_micros(engine.now());
        let coordinator = CoordinatorLink::from_settings(&settings, now)?;
        let sites = settings
            .is_site_failover_enabled
            .then(|| SiteMonitor::new(&settings))
            .transpose()?;
        let mut gateway = GatewayServer {
            engine,
            decisions: DecisionQueue::new(decision_engine),
            settings_file,
            listener,
            listen_address,
            admin_address,
            calls: Calls::default(),
            counter,
            resp,
            request_queue: settings.admission_queue.clone().map(RequestQueue::new),
            sites,
            coordinator,
            endpoint_connections: EndpointConnections::new(
                settings.max_connections_per_endpoint,
                settings.max_streams_per_connection,
                settings.keepalive_interval,
            ),
            endpoint_list_watch: FileWatch::new(settings.endpoint_list_file.clone()),
            metrics: Metrics::new(&settings.class_names, &settings.plan_names),
            timers: TimerQueue::default(),
            decision_timers: FxHashMap::default(),
            events: Vec::new(),
            shutdown_deadline: None,
            fault: None,
            leaked: Vec::new(),
            has_reloaded: false,
            is_counter_timer_set: false,
            newest_endpoint: None,
            settings,
        };
        gateway.start_polling();
        Ok(gateway)
    }

    /// Polls the endpoint list, the site plan and the coordinator for the first time, which sets their timers.
    fn start_polling(&mut self) {
        self.poll_endpoint_list();
        if self.sites.is_some() {
            self.refresh_site_plan();
            self.execute_actions();
        }
        self.tick_coordinator();
    }
}

fn start_resp(engine: &mut Engine, settings: &Settings) -> Result<Option<RespPort>, StartError> {
    let Some(resp) = &settings.resp else {
        return Ok(None);
    };
    let started = RespPort::start(engine, resp).map_err(|source| StartError::Listen {
        address: resp.listen,
        source,
    })?;
    Ok(Some(started))
}

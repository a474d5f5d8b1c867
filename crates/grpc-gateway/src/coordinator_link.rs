//! The fleet's shared state at a gateway: the session with a keeper over gRPC, what is kept on disk, and what calls, streams, the
//! server list and sites hear of it. What is decided is decided in `chalkdeck_coordinator::agent` and `chalkdeck_access`.

use crate::base::failed::CoordinatorError;
use crate::base::server::Server;
use crate::base::settings::{CoordinatorSettings, Settings};
use crate::gateway_server::{GatewayServer, TimerPurpose};
use chalkdeck::api::EndpointState;
use chalkdeck_access::RegionTable;
use chalkdeck_contract::{hold_back, ServerContract};
use chalkdeck_coordinator::agent::{AgentAction, AgentSettings, GatewayAgent};
use chalkdeck_coordinator::cache_file::CacheFile;
use chalkdeck_coordinator::server::{connection_limits, SESSION_PATH};
use chalkdeck_net::clock::incarnation;
use chalkdeck_net::grpc::{self, Deframer};
use chalkdeck_net::{ConnId, Engine, StreamId};
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use chalkdeck_time::{TimeDelta, Timestamp};
use prost::Message;

mod access;

/// How often what is due is looked at, in microseconds.
const TICK: u64 = 20_000;
/// The longest message of a keeper: the whole state of 200,000 rules fits.
const MOST: usize = 256 << 20;
/// After the disk failed, the whole is tried again, in microseconds.
const KEEP_AGAIN: u64 = 1_000_000;

/// What `/keepers` shows.
#[derive(Debug, Default, Clone, serde::Serialize, serde::Deserialize)]
pub struct CoordinatorStatus {
    /// This gateway's name in the fleet.
    pub name: String,
    /// The keeper that it speaks to, or dials next.
    pub keeper: String,
    /// Its session; 0: none.
    pub session: u64,
    /// Whether the session stands by this gateway's own reckoning.
    pub stands: bool,
    /// Whether anything of the state is known; without it no call is taken.
    pub knows: bool,
    /// The version of the state that is held.
    pub version: u64,
    /// Duties held now, each with its token.
    pub duties: Vec<(String, u64)>,
    /// Customers with a set of rules, each with its version.
    pub sets: Vec<(String, u64)>,
    /// Rules of all sets.
    pub rules: usize,
    /// Servers held back since the version of their contract was not admitted.
    pub held_back: Vec<String>,
    /// All servers in service are of versions that were not admitted, so they are used.
    pub last_resort: bool,
    /// What is held could not be written to the disk; no newer version is said to be applied.
    pub disk_fails: bool,
}

pub(crate) struct CoordinatorLink {
    agent: GatewayAgent,
    set: CoordinatorSettings,
    regions: RegionTable,
    cache_file: Option<CacheFile>,
    /// The disk failed: tried again from then on.
    keep_at: Option<u64>,
    conn: Option<ConnId>,
    stream: Option<StreamId>,
    deframer: Deframer,
    /// The server list as it was read.
    listed: Vec<Server>,
    held_back: Vec<String>,
    last_resort: bool,
}

impl CoordinatorLink {
    /// Errors: a file that is there and not sound; better no start than rules forgotten.
    pub(crate) fn new(
        set: &CoordinatorSettings,
        zone: &str,
        now: u64,
    ) -> Result<CoordinatorLink, CoordinatorError> {
        let regions = match &set.regions {
            None => RegionTable::default(),
            Some(file) => {
                let text = std::fs::read_to_string(file).map_err(|source| {
                    CoordinatorError::RegionsFile {
                        file: file.clone(),
                        source,
                    }
                })?;
                RegionTable::parse(&text).map_err(|source| CoordinatorError::Regions {
                    file: file.clone(),
                    source,
                })?
            }
        };
        let (cache_file, state) = match &set.state {
            None => (None, Default::default()),
            Some(file) => {
                let (cache_file, state) = CacheFile::open(file)?;
                (Some(cache_file), state)
            }
        };
        let open = wire::OpenSession {
            gateway: set.name.clone(),
            site: zone.to_string(),
            incarnation: incarnation(now),
            candidate: set.candidate,
        };
        let agent_settings = AgentSettings {
            open,
            replica_count: set.addresses.len(),
            report_interval: TimeDelta::from_micros(set.report),
            seed: fastrand::u64(..),
        };
        let now = Timestamp::from_micros(now);
        let version = state.version;
        let mut agent = GatewayAgent::new(agent_settings, state, now);
        if cache_file.is_some() {
            agent.state_persisted(now, version);
        }
        Ok(CoordinatorLink {
            agent,
            set: set.clone(),
            regions,
            cache_file,
            keep_at: None,
            conn: None,
            stream: None,
            deframer: Deframer::default(),
            listed: Vec::new(),
            held_back: Vec::new(),
            last_resort: false,
        })
    }

    fn hang_up(&mut self, engine: &mut Engine) {
        (self.stream, self.deframer) = (None, Deframer::default());
        self.conn
            .take()
            .into_iter()
            .for_each(|conn| engine.close(conn));
    }

    fn dial(&mut self, engine: &mut Engine, place: usize) {
        self.hang_up(engine);
        match engine.connect(self.set.addresses[place], connection_limits()) {
            Ok(conn) => self.conn = Some(conn),
            Err(_) => self.agent.connection_lost(now(engine)),
        }
    }

    /// The connection stands: the session's stream is opened on it.
    fn connected(&mut self, engine: &mut Engine, conn: ConnId) {
        let head = grpc::request(
            &self.set.addresses[self.agent.replica_index()].to_string(),
            SESSION_PATH,
        );
        self.stream = head.and_then(|head| engine.open(conn, head, false));
        match self.stream {
            Some(_) => self.agent.connected(now(engine)),
            None => self.lost(engine),
        }
    }

    fn lost(&mut self, engine: &mut Engine) {
        self.hang_up(engine);
        self.agent.connection_lost(now(engine));
    }

    fn data(&mut self, engine: &mut Engine, data: &[u8]) {
        self.deframer.push(data);
        loop {
            match self.deframer.next(MOST) {
                Ok(None) => return,
                Ok(Some(message)) => match wire::ServerMessage::decode(&message[..]) {
                    Ok(down) => self.agent.receive(now(engine), down),
                    Err(_) => return self.lost(engine),
                },
                Err(_) => return self.lost(engine),
            }
            // The keeper may have been left for another by what came.
            if self.stream.is_none() {
                return;
            }
        }
    }

    fn keep(&mut self, now: u64, news: &wire::WatchEvent) {
        let Some(cache_file) = &mut self.cache_file else {
            return;
        };
        let state = self.agent.session().state();
        let version = state.version;
        match cache_file.write(news, state) {
            Ok(()) => {
                self.keep_at = None;
                self.agent
                    .state_persisted(Timestamp::from_micros(now), version);
            }
            Err(e) => {
                if self.keep_at.is_none() {
                    tracing::error!(error = %e, "cached state not persisted");
                }
                self.keep_at = Some(now + KEEP_AGAIN);
            }
        }
    }

    /// Marks servers whose version was not admitted as draining: nothing new goes to them.
    fn hold_back(&mut self, servers: &mut [Server]) {
        let state = self.agent.session().state();
        let contracts = servers.iter().map(|server| ServerContract {
            is_in_service: server.entry.state == EndpointState::InService,
            contract: server.contract.as_deref(),
        });
        let back = hold_back(contracts, |service, version| state.admits(service, version));
        self.held_back.clear();
        for (server, _) in servers
            .iter_mut()
            .zip(&back.is_held_back)
            .filter(|(_, held)| **held)
        {
            server.entry.state = EndpointState::Draining;
            self.held_back.push(server.address.to_string());
        }
        if back.is_last_resort != std::mem::replace(&mut self.last_resort, back.is_last_resort)
            && back.is_last_resort
        {
            tracing::error!(
                "no endpoint in service has an admitted contract version: using all of them"
            );
        }
    }

    fn status(&self, now: u64) -> CoordinatorStatus {
        let (session, access) = (self.agent.session(), self.agent.access());
        let now = Timestamp::from_micros(now);
        let leads = |d: &wire::Election| Some((d.name.clone(), session.leads(&d.name, now)?.0));
        let mut sets: Vec<(String, u64)> = access
            .customers()
            .filter_map(|c| Some((c.to_string(), access.get(c)?.set().version)))
            .collect();
        sets.sort_unstable();
        sets.truncate(1_000);
        CoordinatorStatus {
            name: self.set.name.clone(),
            keeper: self.set.addresses[self.agent.replica_index()].to_string(),
            session: session.id().0,
            stands: session.is_valid(now),
            knows: self.agent.has_state(),
            version: session.state().version,
            duties: session.elections().filter_map(leads).collect(),
            sets,
            rules: access.rule_count(),
            held_back: self.held_back.clone(),
            last_resort: self.last_resort,
            disk_fails: self.keep_at.is_some(),
        }
    }
}

impl GatewayServer {
    /// Looks at what is due.
    pub(crate) fn tick_coordinator(&mut self) {
        let GatewayServer {
            keepers: Some(keepers),
            engine,
            ..
        } = self
        else {
            return;
        };
        let now = engine.now();
        if keepers.keep_at.is_some_and(|at| now >= at) {
            let whole = wire::WatchEvent {
                whole: true,
                ..wire::WatchEvent::default()
            };
            keepers.keep(now, &whole);
        }
        keepers.agent.tick(Timestamp::from_micros(now));
        self.set_timer(TICK, TimerPurpose::Coordinator);
        self.run_coordinator_actions();
    }

    /// Carries out what the shared state asks for, until nothing follows.
    fn run_coordinator_actions(&mut self) {
        loop {
            let Some(keepers) = &mut self.keepers else {
                return;
            };
            let acts = keepers.agent.take_actions();
            if acts.is_empty() {
                return;
            }
            acts.into_iter()
                .for_each(|act| self.run_coordinator_action(act));
        }
    }

    fn run_coordinator_action(&mut self, act: AgentAction) {
        let GatewayServer {
            keepers: Some(keepers),
            engine,
            ..
        } = self
        else {
            return;
        };
        match act {
            AgentAction::Connect(place) => keepers.dial(engine, place),
            AgentAction::Send(up) => {
                if let Some(stream) = keepers.stream {
                    engine.send(stream, grpc::frame(&up.encode_to_vec()));
                }
            }
            AgentAction::Persist(news) => keepers.keep(engine.now(), &news),
            AgentAction::RecheckStreams(customers) => self.end_denied_streams(Some(&customers)),
            AgentAction::RecheckAllStreams => self.end_denied_streams(None),
            AgentAction::ContractsChanged => {
                // Kept again as it is taken over.
                let listed = std::mem::take(&mut keepers.listed);
                if !listed.is_empty() {
                    self.take_list(listed);
                }
            }
            AgentAction::ApplySiteOverride(word) => {
                self.apply_site_override(&word.site, &word.action)
            }
        }
    }

    /// The list as it is to be used: servers of versions that were not admitted are held back.
    pub(crate) fn hold_back_endpoints(&mut self, servers: &mut [Server]) {
        if let Some(keepers) = &mut self.keepers {
            keepers.listed = servers.to_vec();
            keepers.hold_back(servers);
        }
    }

    /// Whether it was the connection to a keeper.
    pub(crate) fn on_coordinator_connected(&mut self, conn: ConnId) -> bool {
        let GatewayServer {
            keepers: Some(keepers),
            engine,
            ..
        } = self
        else {
            return false;
        };
        let own = keepers.conn == Some(conn);
        if own {
            keepers.connected(engine, conn);
            self.run_coordinator_actions();
        }
        own
    }
    /// See [`GatewayServer::on_coordinator_connected`].
    pub(crate) fn on_coordinator_closed(&mut self, conn: ConnId) -> bool {
        let GatewayServer {
            keepers: Some(keepers),
            engine,
            ..
        } = self
        else {
            return false;
        };
        let own = keepers.conn == Some(conn);
        if own {
            keepers.lost(engine);
            self.run_coordinator_actions();
        }
        own
    }
    /// Whether it was the session's stream; `over`: nothing more comes on it.
    pub(crate) fn on_coordinator_data(
        &mut self,
        stream: StreamId,
        data: &[u8],
        over: bool,
    ) -> bool {
        let GatewayServer {
            keepers: Some(keepers),
            engine,
            ..
        } = self
        else {
            return false;
        };
        let own = keepers.stream == Some(stream);
        if own {
            engine.consume(stream, data.len());
            keepers.data(engine, data);
            if over && keepers.stream == Some(stream) {
                keepers.lost(engine);
            }
            self.run_coordinator_actions();
        }
        own
    }

    /// A stop begins: duties go on at once; the session stands as long as calls may need it.
    pub(crate) fn resign_leaderships(&mut self) {
        self.keepers.iter_mut().for_each(|k| k.agent.resign());
        self.run_coordinator_actions();
    }
    /// The gateway ends.
    pub(crate) fn close_coordinator_session(&mut self) {
        self.keepers.iter_mut().for_each(|k| k.agent.close());
        self.run_coordinator_actions();
    }

    /// Whether calls can be taken as far as the shared state is concerned.
    pub(crate) fn has_shared_state(&self) -> bool {
        self.keepers.as_ref().is_none_or(|k| k.agent.has_state())
    }
    /// `/keepers`; none: there is no shared state.
    pub(crate) fn coordinator_status(&self) -> Option<CoordinatorStatus> {
        Some(self.keepers.as_ref()?.status(self.engine.now()))
    }
}

/// The loop's clock, as deciding code takes it.
fn now(engine: &Engine) -> Timestamp {
    Timestamp::from_micros(engine.now())
}

/// Takes part, where the settings say so.
pub(crate) fn of(set: &Settings, now: u64) -> Result<Option<CoordinatorLink>, CoordinatorError> {
    set.keepers
        .as_ref()
        .map(|k| CoordinatorLink::new(k, &set.zone_name, now))
        .transpose()
}

//! One gateway on real sockets: events of the decisions are raised from what happens there, and each action that
//! comes back is carried out. Nothing is sent, refused, failed, repeated or called off here that was not decided there;
//! a client's own deadline on an answer that has started is the client's going away.

use crate::base::failed::StartError;
use crate::base::settings::Settings;
use crate::calls::Calls;
use crate::coordinator_link::{self, CoordinatorLink};
use crate::counter::Told;
use crate::counters::{Counters, News};
use crate::endpoints::{self, LookError, Server};
use crate::entry::Entry;
use crate::fault::Fault;
use crate::metrics::Metrics;
use crate::pool::{AttemptId, Pool};
use crate::resp::Resp;
use crate::sites::SiteMonitor;
use chalkdeck::api::{
    Action, CounterKey, EndpointId, EndpointState, Event, Outcome, RequestId, TimerId, Timestamp,
    UpdateScope,
};
use chalkdeck::DecisionEngine;
use chalkdeck::Decisions;
use chalkdeck_net::file_watch::FileWatch;
use chalkdeck_net::grpc::Code;
use chalkdeck_net::signals::Signals;
use chalkdeck_net::timer_queue::TimerQueue;
use chalkdeck_net::{ConnId, Engine, Event as NetEvent, ListenerId};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The longest sleep of the loop; signals are looked at that often.
const LONGEST_WAIT: u64 = 100_000;

/// What a timer of the loop is for.
#[derive(Clone, Copy)]
pub(crate) enum TimerPurpose {
    /// A timer that the decisions have set.
    Decision(TimerId),
    AttemptTimeout(AttemptId),
    /// A RESP client's lease on its admitted request ends.
    RespLease(RequestId),
    /// A RESP client may have stopped reading or writing.
    RespStallCheck(ConnId),
    RespResume(ConnId),
    ClientDeadline(RequestId),
    CounterTimeout,
    ConnectTimeout(ConnId),
    EndpointPoll,
    SitePlan,
    Coordinator,
}

/// A running gateway.
pub struct GatewayServer {
    pub(crate) engine: Engine,
    pub(crate) decisions: Decisions,
    pub(crate) set: Settings,
    file: Option<PathBuf>,
    listener: ListenerId,
    listen: SocketAddr,
    admin: Option<SocketAddr>,
    pub(crate) calls: Calls,
    pub(crate) counter: Option<Counters>,
    pub(crate) resp: Option<Resp>,
    pub(crate) entry: Option<Entry>,
    pub(crate) sites: Option<SiteMonitor>,
    pub(crate) keepers: Option<CoordinatorLink>,
    pub(crate) pool: Pool,
    watch: FileWatch,
    pub(crate) metrics: Metrics,
    timers: TimerQueue<TimerPurpose>,
    events: Vec<NetEvent>,
    stop_by: Option<u64>,
    pub(crate) fault: Option<Fault>,
    counts_watched: bool,
    /// Where the fault of cold servers sends all.
    pub(crate) freshest: Option<EndpointId>,
}

impl GatewayServer {
    /// Binds the sockets and reads the server list. `shared`: other instances listen at the same address.
    /// `file`: where settings are read again from. Errors: see [`StartError`].
    pub fn start(
        set: Settings,
        file: Option<PathBuf>,
        seed: u64,
        shared: bool,
    ) -> Result<GatewayServer, StartError> {
        let mut engine = Engine::new().map_err(StartError::Poll)?;
        let mut bind = |address, http1| {
            let bound = engine.listen(address, set.front, shared, http1);
            bound.map_err(|source| StartError::Listen { address, source })
        };
        let (listener, listen) = bind(set.listen, false)?;
        let admin = match set.admin {
            Some(address) => Some(bind(address, true)?.1),
            None => None,
        };
        let policy = DecisionEngine::new(seed, set.policy.clone())?;
        let resp = set.resp.as_ref().map(|r| {
            let failed = |source| StartError::Listen {
                address: r.listen,
                source,
            };
            Resp::start(&mut engine, r).map_err(failed)
        });
        let resp = resp.transpose()?;
        let counter = Counters::new(&set.counter, engine.now());
        let keepers = coordinator_link::of(&set, engine.now())?;
        let mut gateway = GatewayServer {
            engine,
            decisions: Decisions::new(policy),
            file,
            listener,
            listen,
            admin,
            calls: Calls::default(),
            counter,
            resp,
            entry: set.door.clone().map(Entry::new),
            sites: set.sites.then(|| SiteMonitor::new(&set)).transpose()?,
            keepers,
            pool: Pool::new(set.server_connections, set.server_streams, set.keepalive),
            watch: FileWatch::new(set.endpoints.clone()),
            metrics: Metrics::new(&set.class_names, &set.plan_names),
            timers: TimerQueue::default(),
            events: Vec::new(),
            stop_by: None,
            fault: None,
            counts_watched: false,
            freshest: None,
            set,
        };
        gateway.look();
        if gateway.sites.is_some() {
            gateway.refresh_site_plan();
            gateway.settle();
        }
        gateway.tick_coordinator();
        Ok(gateway)
    }

    /// Puts a fault into the carrying code, for audits.
    pub fn inject(&mut self, fault: Fault) {
        tracing::warn!(
            ?fault,
            "fault injection is on: safety rules will be violated"
        );
        self.fault = Some(fault);
    }
    /// Where calls come in.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }
    /// Where health and metrics are served.
    pub fn admin(&self) -> Option<SocketAddr> {
        self.admin
    }

    /// Calls without their final answer.
    pub fn open_calls(&self) -> usize {
        self.calls.open
    }
    /// The metrics as the admin port serves them.
    pub fn metrics(&self) -> String {
        self.metrics.text()
    }

    /// Carries calls until it is asked to stop and what it holds has ended, at the latest by the longest deadline.
    pub fn run(&mut self, signals: &Signals) -> io::Result<()> {
        loop {
            self.turn(LONGEST_WAIT)?;
            if signals.reload() {
                self.reload();
            }
            if signals.stop() {
                self.stop();
            }
            if self.stopped() {
                return self.end_stop();
            }
        }
    }

    /// Begins to stop: asks clients to open nothing new, finishes what it holds.
    pub fn stop(&mut self) {
        if self.stop_by.is_some() {
            return;
        }
        let longest = self
            .set
            .policy
            .classes
            .iter()
            .map(|c| c.deadline.as_micros())
            .max()
            .unwrap_or(0);
        self.stop_by = Some(self.engine.now() + longest);
        self.engine.unlisten(self.listener);
        self.engine.drain(self.listener);
        self.resp_stop();
        self.resign_leaderships();
        tracing::info!(
            open = self.calls.open,
            "graceful shutdown: rejecting new calls, finishing open ones"
        );
    }

    /// Whether a stop is over: nothing is open and no client is left that could still open something, or the longest deadline has
    /// passed. Until a client has heard that it may open nothing, what it opens is taken and answered.
    pub fn stopped(&self) -> bool {
        let alone = || {
            self.calls.open == 0
                && self.engine.connections_of(self.listener) == 0
                && self.resp_is_alone()
        };
        self.stop_by
            .is_some_and(|by| self.engine.now() >= by || alone())
    }

    /// What is still open are streams without an end of their own: they are told.
    fn end_stop(&mut self) -> io::Result<()> {
        for id in self.calls.open_ids() {
            self.abort_call(id, Code::Unavailable, "the gateway stops");
        }
        self.settle();
        self.close_coordinator_session();
        let flush_by = self.engine.now() + LONGEST_WAIT;
        while self.engine.stream_count() > 0 && self.engine.now() < flush_by {
            self.turn(1_000)?;
        }
        for _ in 0..3 {
            self.turn(1_000)?;
        }
        tracing::info!("stopped");
        Ok(())
    }

    /// Waits for what happens, at most so many microseconds, and deals with it.
    pub fn turn(&mut self, most_wait: u64) -> io::Result<()> {
        let mut events = std::mem::take(&mut self.events);
        self.engine.turn(self.door_wait(most_wait), &mut events)?;
        for event in events.drain(..) {
            self.on_event(event);
            self.settle();
        }
        self.events = events;
        self.door_turn();
        self.settle();
        self.resp_let_go();
        if let GatewayServer {
            counter: Some(counter),
            engine,
            ..
        } = self
        {
            counter.flush(engine);
        }
        Ok(())
    }

    fn on_event(&mut self, event: NetEvent) {
        match event {
            NetEvent::Accepted { listener, conn } => self.resp_accepted(listener, conn),
            NetEvent::Bytes { conn, data } => self.resp_bytes(conn, &data),
            NetEvent::Opened {
                stream,
                conn,
                head,
                ended,
            } => self.on_call(stream, conn, &head, ended),
            NetEvent::Connected { conn } => self.on_connected(conn),
            NetEvent::Closed { conn, reason, .. } => {
                self.resp_closed(conn);
                self.on_closed(conn, &reason.to_string());
            }
            NetEvent::Head {
                stream,
                head,
                ended,
            } => self.on_head(stream, head, ended),
            NetEvent::Data { stream, data } => self.on_data(stream, data),
            NetEvent::End { stream, trailers } => self.on_end(stream, trailers),
            NetEvent::Sent { stream, bytes } => self.on_sent(stream, bytes),
            NetEvent::StreamFailed { stream, error } => self.on_broken(stream, error),
            NetEvent::Timer(token) => self.on_timer(token),
            NetEvent::Get { conn, path } => self.on_get(conn, &path),
        }
    }

    // ---- between the decisions and the sockets ----

    /// Tells the decisions what happened and carries out what follows, until nothing follows.
    fn settle(&mut self) {
        while let Some(action) = self
            .decisions
            .next_action(Timestamp::from_micros(self.engine.now()))
        {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::SendAttempt {
                request: id,
                endpoint: server,
                deadline: until,
            } => self.send_attempt(id, server, until.as_micros()),
            Action::Reject {
                request: id,
                retry_after: back_in,
            } => self.reject_call(id, back_in.map(|m| m.as_micros())),
            Action::Grant(id) => self.granted(id),
            Action::Fail(id) => self.fail_call(id),
            Action::CancelAttempt {
                request: call,
                attempt: number,
            } => self.cancel_attempt(AttemptId { call, number }, Outcome::Cancelled),
            Action::AddToCounter {
                key: name,
                amount,
                time_to_live: life,
            } => self.count(name, amount, life.as_micros()),
            Action::SetTimer { timer, after } => {
                self.set_timer(after.as_micros(), TimerPurpose::Decision(timer))
            }
            Action::FetchEndpoints => self.look(),
            // The settings allow neither probes nor subscriptions: the list is watched.
            Action::Probe(_) | Action::Subscribe => {}
        }
    }

    /// The loop's clock, as deciding code takes it.
    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.engine.now())
    }

    /// Sets a timer that fires after so many microseconds.
    pub(crate) fn set_timer(&mut self, after: u64, due: TimerPurpose) {
        self.timers.set(&mut self.engine, after, due);
    }

    fn on_timer(&mut self, token: u64) {
        match self.timers.take(token) {
            Some(TimerPurpose::Decision(timer)) => self.decisions.push(Event::Timer(timer)),
            Some(TimerPurpose::RespLease(id)) => self.lease_over(id),
            Some(TimerPurpose::RespStallCheck(conn)) => self.resp_stalled(conn),
            Some(TimerPurpose::RespResume(conn)) => self.resp_resume(conn),
            Some(TimerPurpose::AttemptTimeout(attempt)) => self.time_out_attempt(attempt),
            Some(TimerPurpose::ClientDeadline(id)) => self.on_client_deadline(id),
            Some(TimerPurpose::CounterTimeout) => self.count_times_out(),
            Some(TimerPurpose::ConnectTimeout(conn)) if !self.pool.is_connecting(conn) => {}
            Some(TimerPurpose::ConnectTimeout(conn)) => {
                self.engine.close(conn);
                self.on_closed(conn, "not made in time");
            }
            Some(TimerPurpose::EndpointPoll) => self.look(),
            Some(TimerPurpose::SitePlan) => self.refresh_site_plan(),
            Some(TimerPurpose::Coordinator) => self.tick_coordinator(),
            None => {}
        }
    }

    fn count(&mut self, name: CounterKey, amount: f64, life: u64) {
        let GatewayServer {
            counter: Some(counter),
            engine,
            ..
        } = self
        else {
            return;
        };
        let until = engine.now() + self.set.policy.counter_timeout.as_micros();
        let told = counter.part_of(name).add(engine, name, amount, life, until);
        self.watch_counts();
        self.counted(told);
    }

    /// All calls have the same time, so the first of them times out first and one timer serves all.
    fn watch_counts(&mut self) {
        let Some(until) = self.counter.as_mut().and_then(Counters::next_timeout) else {
            return;
        };
        if !std::mem::replace(&mut self.counts_watched, true) {
            self.set_timer(
                until.saturating_sub(self.engine.now()),
                TimerPurpose::CounterTimeout,
            );
        }
    }

    fn count_times_out(&mut self) {
        self.counts_watched = false;
        let GatewayServer {
            counter: Some(counter),
            engine,
            ..
        } = self
        else {
            return;
        };
        let told = counter.timed_out(engine);
        self.watch_counts();
        self.counted(told);
    }

    pub(crate) fn counted(&mut self, told: Vec<Told>) {
        for news in self
            .counter
            .as_mut()
            .map(Counters::news)
            .unwrap_or_default()
        {
            self.metrics.counter_news(news);
            match news {
                News::Recovered => {
                    tracing::info!("counter restarted with its counts")
                }
                News::Emptied => tracing::warn!("counter lost its counts"),
                News::WentBack => tracing::warn!("counter went back to an earlier state"),
            }
        }
        self.report_counter_results(&told);
        for Told {
            name,
            outcome,
            total,
        } in told
        {
            self.metrics.count(outcome);
            self.decisions.push(Event::CounterReplied {
                key: name,
                outcome,
                total,
            });
        }
    }

    // ---- lists, settings, side port ----

    /// Reads the server list again if it changed. A broken one leaves the last good list in force.
    fn look(&mut self) {
        self.set_timer(self.set.poll, TimerPurpose::EndpointPoll);
        self.pool.close_idle(&mut self.engine);
        let Some(bytes) = self.watch.poll() else {
            return;
        };
        let list = |b: Vec<u8>| endpoints::read(self.watch.path(), &b).map_err(LookError::from);
        match bytes.map_err(LookError::from).and_then(list) {
            Ok(servers) => {
                tracing::info!(endpoints = servers.len(), "endpoint list read");
                self.metrics.servers.set(servers.len() as i64);
                self.take_list(servers);
            }
            Err(why) => {
                self.metrics.list_failures.inc();
                tracing::error!(
                    file = %self.watch.path().display(),
                    error = %why,
                    "endpoint list not readable: keeping the last good one"
                );
            }
        }
        self.settle();
    }

    /// Uses a list from here on.
    pub(crate) fn take_list(&mut self, mut servers: Vec<Server>) {
        self.hold_back_endpoints(&mut servers);
        let unsent = self.pool.update(&mut self.engine, &servers);
        unsent
            .into_iter()
            .for_each(|attempt| self.end_attempt(attempt, Outcome::ConnectFailed, false));
        self.report_endpoint_list(&servers);
        let mut entries: Vec<_> = servers.into_iter().map(|s| s.entry).collect();
        for entry in &mut entries {
            if self.fault == Some(Fault::Drains) {
                entry.state = EndpointState::InService;
            }
            if self.fault == Some(Fault::Cold) && entry.started_at.is_some() {
                self.freshest = Some(entry.endpoint);
            }
        }
        self.decisions.push(Event::EndpointsUpdated {
            scope: UpdateScope::Complete,
            entries,
        });
    }

    /// Takes over what can change in service; the decisions' own settings need a new start.
    pub fn reload(&mut self) {
        let Some(file) = &self.file else { return };
        let new = match Settings::load(file) {
            Ok(new) => new,
            Err(error) => {
                return tracing::error!(%error, "reload rejected: keeping the previous settings")
            }
        };
        let fixed = |s: &Settings| {
            (
                format!("{:?}", s.policy),
                (s.listen, s.admin, s.sites),
                s.counter.clone(),
                s.resp.clone(),
                s.keepers.clone(),
            )
        };
        if fixed(&new) != fixed(&self.set) {
            tracing::error!(
                "reload rejected: classes, plans, fleet, limits and addresses need a restart"
            );
            return;
        }
        if new.endpoints != self.set.endpoints {
            self.watch = FileWatch::new(new.endpoints.clone());
        }
        self.set = new;
        tracing::info!("settings reloaded");
    }

    fn on_get(&mut self, conn: ConnId, path: &str) {
        let connections = self.engine.connection_count();
        self.metrics.connections.set(connections as i64);
        match path {
            "/healthz" if self.stop_by.is_some() => self.engine.reply(conn, 503, "stopping\n"),
            "/healthz" if !self.has_shared_state() => {
                self.engine.reply(
                    conn,
                    503,
                    "no keeper was heard yet: it is not known which calls are denied\n",
                );
            }
            "/healthz" => self.engine.reply(conn, 200, "ok\n"),
            "/metrics" => {
                let text = self.metrics.text();
                self.engine.reply(conn, 200, &text);
            }
            path if path.starts_with("/sites") => match self.answer_site_request(path) {
                Ok(text) => self.engine.reply(conn, 200, &text),
                Err(what) => self.engine.reply(conn, 400, &format!("{what}\n")),
            },
            "/keepers" => match self
                .coordinator_status()
                .and_then(|s| serde_json::to_string(&s).ok())
            {
                Some(text) => self.engine.reply(conn, 200, &text),
                None => self.engine.reply(conn, 400, "settings have no keepers\n"),
            },
            _ => self.engine.reply(
                conn,
                404,
                "expected /healthz, /metrics, /sites or /keepers\n",
            ),
        }
    }
}

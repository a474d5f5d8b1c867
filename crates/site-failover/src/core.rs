//! The core: keeps the evidence, moves the states, and parts the load.

use crate::evidence::{Server, Site};
use crate::level::Level;
use crate::order::Order;
use crate::pace::Pace;
use crate::room::{strain, Rate};
use crate::share::{shares, Part};
use crate::states::{next, Seen};
use crate::{Command, Event, How, Listed, Plan, Settings, SiteId, State, View};
use std::collections::{BTreeMap, HashMap};

/// A site's room is learnt only from flows of at least this part of an even share: below, strain is others' doing.
const LEARNS: f64 = 0.5;
/// What a doubtful site is still given of its room.
const DOUBTFUL: f64 = 0.25;
/// Sites that fall silent within this of each other are taken to be cut off together.
const TOGETHER: u64 = 2_000_000;
/// Probes that all gateways together send to a site that is out, a second, and the bounds of one gateway's wait.
const PROBES: f64 = 20.0;
const PROBE_LEAST: f64 = 0.25;
const PROBE_MOST: f64 = 4.0;
/// The most that probes may take of a gateway's load.
const PROBE_SHARE: f64 = 0.02;
/// A site without a server in the list is forgotten after this.
const FORGET: u64 = 600_000_000;
/// Nobody is thought to offer less than this, in units a second.
const LOAD_LEAST: f64 = 1.0;

/// The core of one gateway.
#[derive(Debug)]
pub struct Core {
    set: Settings,
    sites: BTreeMap<SiteId, Site>,
    site_of: HashMap<u64, SiteId>,
    offered: Rate,
    order: Order,
    level: Level,
    /// The size of all that takes load and was not silent at the last look.
    sizes: f64,
    /// When the counter last failed and last answered.
    counter: (Option<u64>, Option<u64>),
}

impl Core {
    /// A core that knows no site yet.
    pub fn new(set: Settings) -> Core {
        Core {
            set,
            sites: BTreeMap::new(),
            site_of: HashMap::new(),
            offered: Rate::default(),
            order: Order::default(),
            level: Level::default(),
            sizes: 0.0,
            counter: (None, None),
        }
    }

    /// Takes what happened. Servers and sites that the list never named are passed over.
    pub fn on(&mut self, now: u64, event: Event) {
        match event {
            Event::List(list) => self.on_list(now, list),
            Event::Offered(worth, units) => {
                self.offered.add(now, units);
                self.order.offered(worth, units);
            }
            Event::Sent(server) => self
                .of(server)
                .into_iter()
                .for_each(|s| s.sent(now, server)),
            Event::Ended(server, how, took, aim, units) => {
                self.on_end(now, server, how, took, aim, units)
            }
            Event::Places(places) => self.on_places(places),
            Event::Final(served, waited, aim) => {
                let flow: f64 = self.sites.values().map(|s| s.room.flow(now)).sum();
                let borne = flow / self.offered.per_second(now).max(LOAD_LEAST);
                self.level.ended(served, waited, aim, borne);
            }
            Event::Counter(true) => self.counter.1 = Some(now),
            Event::Counter(false) => self.counter.0 = Some(now),
            Event::Command(site, command) => self.on_command(now, site, command),
        }
    }

    fn of(&mut self, server: u64) -> Option<&mut Site> {
        self.sites.get_mut(self.site_of.get(&server)?)
    }

    fn on_list(&mut self, now: u64, list: &[Listed]) {
        for site in self.sites.values_mut() {
            site.servers.values_mut().for_each(|s| s.in_service = false);
        }
        let mut new = Vec::new();
        for l in list {
            new.extend((!self.sites.contains_key(&l.site)).then_some(l.site));
            let site = self
                .sites
                .entry(l.site)
                .or_insert_with(|| Site::new(l.site));
            let server = site.servers.entry(l.server).or_default();
            if server.started != l.started && l.started.is_some() {
                *server = Server::default();
            }
            (server.in_service, server.started) = (l.in_service, l.started);
            server.weight = if l.weight > 0.0 { l.weight } else { 1.0 };
            self.site_of.insert(l.server, l.site);
        }
        // What the list no longer names is forgotten, so that the maps stay as large as the list; a site itself stays
        // while it is out, for its losses and an operator's word.
        let named: HashMap<u64, SiteId> = list.iter().map(|l| (l.server, l.site)).collect();
        for site in self.sites.values_mut() {
            let id = site.id;
            site.servers
                .retain(|server, _| named.get(server) == Some(&id));
        }
        self.site_of.retain(|server, _| named.contains_key(server));
        let kept =
            |s: &Site| !s.servers.is_empty() || s.state == State::HeldOut || now < s.since + FORGET;
        self.sites.retain(|_, s| kept(s));
        new.into_iter().for_each(|site| self.begin_cold(now, site));
        self.look(now);
    }

    /// A site that is new here, as all are to a gateway that starts, while servers of it are cold: as after a return.
    fn begin_cold(&mut self, now: u64, id: SiteId) {
        let (seed, cold) = (self.seed(id), self.set.cold);
        let Some(site) = self.sites.get_mut(&id) else {
            return;
        };
        let is_warm = |s: &&Server| s.started.is_none_or(|at| now >= at.saturating_add(cold));
        let all: f64 = site.servers.values().map(|s| s.weight).sum();
        let warm: f64 = site
            .servers
            .values()
            .filter(is_warm)
            .map(|s| s.weight)
            .sum();
        if warm < all {
            site.enter(now, State::Returning);
            let mut pace = Pace::begin(now, seed, true);
            pace.part = pace.part.max(warm / all);
            site.pace = Some(pace);
        }
    }

    fn on_end(&mut self, now: u64, server: u64, how: How, took: u64, aim: u64, units: f64) {
        let (load, sizes) = (self.offered.per_second(now), self.sizes.max(1e-9));
        let Some(site) = self.of(server) else { return };
        site.ended(now, server, how, took);
        let even = load * site.size / sizes;
        let strained = match how {
            How::Answered => strain(took, aim),
            How::Full | How::Silent | How::Unreached => 1.0,
            How::CalledOff => return,
        };
        // One who does not answer at all teaches nothing of room: that is what states are for.
        if matches!(how, How::Answered | How::Full) {
            site.room.ended(
                now,
                if how == How::Full { 0.0 } else { units },
                strained,
                even * LEARNS,
            );
        }
        site.pace.iter_mut().for_each(|p| p.ended(now, strained));
    }

    fn on_places(&mut self, places: &[(u64, f64, f64)]) {
        self.sites.values_mut().for_each(|s| s.places = (0.0, 0.0));
        for (server, out, most) in places {
            let Some(site) = self.of(*server) else {
                continue;
            };
            site.places = (site.places.0 + out, site.places.1 + most);
        }
    }

    fn on_command(&mut self, now: u64, site: SiteId, command: Command) {
        let seed = self.seed(site);
        let Some(site) = self.sites.get_mut(&site) else {
            return;
        };
        match command {
            Command::Drain | Command::Hold => site.enter(now, State::HeldOut),
            Command::LetBack if site.state == State::HeldOut => {
                site.enter(now, State::Returning);
                site.pace = Some(Pace::begin(now, seed, false));
            }
            Command::LetBack => site.held.until = now,
        }
    }

    fn seed(&self, site: SiteId) -> u64 {
        u64::from(self.set.me) << 32 | u64::from(site.0)
    }

    /// Moves the states on by what is known now.
    fn look(&mut self, now: u64) {
        let verdicts: Vec<(SiteId, State)> = self
            .sites
            .values()
            .map(|s| (s.id, next(s.state, self.seen(now, s))))
            .collect();
        for (id, state) in verdicts {
            let (seed, cold) = (self.seed(id), self.cold_part(now, id));
            let Some(site) = self.sites.get_mut(&id) else {
                continue;
            };
            site.room.look(now);
            if state != site.state {
                let new_loss = state.is_out() && !site.state.is_out();
                if new_loss {
                    site.held.lost(now);
                }
                site.enter(now, state);
                if state == State::Returning {
                    site.pace = Some(Pace::begin(now, seed, cold < 1.0));
                }
            }
            if state == State::Serving {
                site.pace = None;
            }
            site.pace.iter_mut().for_each(|p| p.look(now, cold));
            site.size = site.sizes().1;
        }
        self.sizes = self
            .sites
            .values()
            .filter(|s| !s.state.is_out())
            .map(|s| s.size)
            .sum();
    }

    fn seen(&self, now: u64, site: &Site) -> Seen {
        Seen {
            silent: site.silent(now),
            doubtful: site.doubtful(now),
            alone: site.silent(now) && self.alone(now, site),
            hold_over: now >= site.held.until,
            heard: site.heard_since(site.since + 1),
            pacing: site.pace.is_some(),
            paced: site
                .pace
                .as_ref()
                .is_some_and(|p| p.done(now, self.cold_part(now, site.id))),
        }
    }

    /// Whether others are silent, too, while one's own site answers: then it may be this gateway that is cut off.
    /// With two sites alone a silent counter must bear it out.
    fn alone(&self, now: u64, site: &Site) -> bool {
        let own = self.set.own;
        let answers = |s: &Site| s.heard_since(now.saturating_sub(TOGETHER)) && s.id != site.id;
        if !self.sites.get(&own).is_some_and(answers) || site.sizes().0 <= 0.0 {
            return false;
        }
        // What the list took away, or an operator, says nothing of a cut.
        let asked = |s: &&Site| s.id != own && s.state != State::HeldOut && s.sizes().0 > 0.0;
        let others = || self.sites.values().filter(asked);
        let silent = |s: &&Site| {
            let fresh = s.state.is_out() && now < s.since + TOGETHER;
            s.doubtful(now) || s.silent(now) || fresh
        };
        let (all, quiet) = (others().count(), others().filter(silent).count());
        let (failed, answered) = self.counter;
        let counter_silent =
            failed.is_some_and(|f| now < f + TOGETHER && answered.is_none_or(|a| a < f));
        quiet * 2 > all && all > 1 || all == 1 && counter_silent
    }

    /// The part of its capacity that a site has from cold servers, as all gateways see it.
    fn cold_part(&self, now: u64, id: SiteId) -> f64 {
        let Some(site) = self.sites.get(&id) else {
            return 1.0;
        };
        let (mut all, mut part) = (0.0, 0.0);
        for s in site.servers.values().filter(|s| s.in_service) {
            let age = s.started.map_or(u64::MAX, |at| now.saturating_sub(at));
            let warm = if age >= self.set.cold {
                1.0
            } else {
                age as f64 / self.set.cold.max(1) as f64
            };
            let now_part = self.set.cold_from + (1.0 - self.set.cold_from) * warm;
            let borne = if warm >= 1.0 {
                1.0
            } else {
                now_part * (self.set.fall_multiple / 2.0).min(1.0)
            };
            all += s.weight;
            part += s.weight * borne;
        }
        if all > 0.0 {
            part / all
        } else {
            1.0
        }
    }

    /// What holds now.
    pub fn plan(&mut self, now: u64) -> Plan {
        self.look(now);
        self.order.fade(now);
        let load = self.offered.per_second(now).max(LOAD_LEAST);
        let parts: Vec<Part> = self
            .sites
            .values()
            .map(|s| self.part(now, s, load))
            .collect();
        let level = self.level.0;
        let mut given = shares(load, &parts);
        self.probe(load, &mut given);
        let views = self.sites.values().zip(given).map(|(s, share)| View {
            site: s.id,
            state: s.state,
            since: s.since,
            evidence: s.evidence(now),
            share,
            room: s.room.most(),
            pace: s.pace.as_ref().map_or(1.0, |p| p.part),
            places: s.places,
        });
        Plan {
            sites: views.collect(),
            level,
            floor: self.order.floor(level),
        }
    }

    fn part(&self, now: u64, s: &Site, load: f64) -> Part {
        let (listed, heard) = s.sizes();
        let even = load * heard / self.sizes.max(1e-9);
        // With all places taken it takes what comes back from it and no more, whatever was learnt before.
        let open = s.room.most().unwrap_or(f64::INFINITY);
        let most = if s.full() {
            open.min(s.room.flow(now).max(even * LEARNS))
        } else {
            open
        };
        let room = match s.state {
            _ if listed <= 0.0 || s.state.is_out() => 0.0,
            State::Doubtful => most.min(even) * DOUBTFUL,
            State::Returning => most.min(even * s.pace.as_ref().map_or(1.0, |p| p.part)),
            _ => most,
        };
        // Where all is lost the list's sizes part the load, but an operator's word holds.
        let weight = if s.state == State::HeldOut {
            0.0
        } else {
            listed.max(heard)
        };
        Part {
            room,
            weight,
            near: s.id == self.set.own,
        }
    }

    /// Takes a little of the load for sites that are out, so that their return is noticed.
    fn probe(&self, load: f64, given: &mut [f64]) {
        let wait = (f64::from(self.set.gateways) / PROBES).clamp(PROBE_LEAST, PROBE_MOST);
        let each = (1.0 / wait / load).min(PROBE_SHARE);
        let tried = |s: &Site| matches!(s.state, State::Lost | State::CutOff | State::Returning);
        let probed = |s: &Site| tried(s) && s.sizes().0 > 0.0;
        let some = given.iter().any(|g| *g > 0.0) && self.sites.values().any(|s| !s.state.is_out());
        let taken = each * self.sites.values().filter(|s| probed(s)).count() as f64;
        if !some {
            return;
        }
        for (g, s) in given.iter_mut().zip(self.sites.values()) {
            *g = *g * (1.0 - taken) + if probed(s) { each } else { 0.0 };
        }
    }
}

//! What was seen of one site, and the state that follows from it.

use crate::pace::{HoldOut, Pace};
use crate::room::Room;
use crate::{Evidence, How, SiteId, State};
use std::collections::{BTreeMap, BTreeSet};

/// Nothing heard for so many times the usual answer, within bounds, makes a site doubtful; three times that, lost.
const QUIET_TIMES: f64 = 4.0;
const QUIET_LEAST: u64 = 300_000;
const QUIET_MOST: u64 = 1_000_000;
const LOST_TIMES: u64 = 3;
/// Attempts without an answer, and servers asked, that a verdict needs at the least.
const ASKED: u32 = 3;
const ASKED_SERVERS: usize = 2;
/// Ends in a row without an answer that make a server count as silent.
const SILENT: u32 = 2;
/// Part of the places in use that counts as all of them.
const FULL: f64 = 0.95;
/// Weight of the newest answer in the usual time.
const SMOOTH: f64 = 0.1;

/// One server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Server {
    pub(crate) weight: f64,
    pub(crate) in_service: bool,
    pub(crate) started: Option<u64>,
    silent: u32,
    /// It refused connections or broke them when last tried.
    unreached: bool,
}

impl Server {
    fn counts(&self) -> bool {
        self.in_service && self.silent < SILENT
    }
}

/// One site.
#[derive(Clone, Debug, Default)]
pub(crate) struct Site {
    pub(crate) id: SiteId,
    pub(crate) servers: BTreeMap<u64, Server>,
    pub(crate) state: State,
    pub(crate) since: u64,
    pub(crate) pace: Option<Pace>,
    pub(crate) held: HoldOut,
    pub(crate) room: Room,
    /// What of it was not silent at the last look.
    pub(crate) size: f64,
    /// Attempts out and the most there may be, as the decisions see them.
    pub(crate) places: (f64, f64),
    out: u64,
    heard_at: u64,
    /// Since when attempts are out with none of them heard.
    waits_since: Option<u64>,
    asked: BTreeSet<u64>,
    asked_times: u32,
    usual: f64,
}

impl Site {
    pub(crate) fn new(id: SiteId) -> Site {
        Site {
            id,
            ..Site::default()
        }
    }
    pub(crate) fn sent(&mut self, now: u64, server: u64) {
        self.out += 1;
        self.asked.insert(server);
        self.asked_times += 1;
        self.waits_since.get_or_insert(now);
    }

    pub(crate) fn ended(&mut self, now: u64, server: u64, how: How, took: u64) {
        self.out = self.out.saturating_sub(1);
        let known = self.servers.get_mut(&server);
        match how {
            How::Answered | How::Full => {
                self.heard_at = now;
                self.waits_since = (self.out > 0).then_some(now);
                self.asked.clear();
                self.asked_times = 0;
                known
                    .into_iter()
                    .for_each(|s| (s.silent, s.unreached) = (0, false));
                if how == How::Answered {
                    let weight = if self.usual == 0.0 { 1.0 } else { SMOOTH };
                    self.usual += weight * (took as f64 - self.usual);
                }
            }
            How::Silent | How::Unreached => known.into_iter().for_each(|s| {
                s.silent = s.silent.saturating_add(1);
                s.unreached = how == How::Unreached;
            }),
            How::CalledOff => {}
        }
    }

    /// For how long nothing was heard though something is out or was asked.
    pub(crate) fn quiet(&self, now: u64) -> u64 {
        self.waits_since.map_or(0, |at| now.saturating_sub(at))
    }
    pub(crate) fn heard_since(&self, at: u64) -> bool {
        self.heard_at > 0 && self.heard_at >= at
    }
    /// Nothing heard for longer than this is out of the ordinary.
    pub(crate) fn patience(&self) -> u64 {
        ((self.usual * QUIET_TIMES) as u64).clamp(QUIET_LEAST, QUIET_MOST)
    }

    fn listed(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|s| s.in_service)
    }
    /// The size of what is listed, and of what of it was not silent when last asked.
    pub(crate) fn sizes(&self) -> (f64, f64) {
        let all = self.listed().map(|s| s.weight).sum();
        (
            all,
            self.listed().filter(|s| s.counts()).map(|s| s.weight).sum(),
        )
    }

    /// No place is free there: more could only wait.
    pub(crate) fn full(&self) -> bool {
        self.places.1 > 0.0 && self.places.0 >= self.places.1 * FULL
    }

    fn asked_enough(&self) -> bool {
        let servers = self.listed().count();
        self.asked_times >= ASKED && self.asked.len() >= ASKED_SERVERS.min(servers.max(1))
    }
    /// Most of its servers refuse connections or break them, and none answered since.
    fn gone(&self) -> bool {
        let unreached = self.listed().filter(|s| s.unreached).count();
        self.waits_since.is_some() && self.asked_enough() && unreached * 2 > self.listed().count()
    }
    pub(crate) fn doubtful(&self, now: u64) -> bool {
        self.gone() || self.quiet(now) > self.patience() && self.asked_enough()
    }
    /// Silent for so long that it must be taken for lost.
    pub(crate) fn silent(&self, now: u64) -> bool {
        self.listed().count() == 0
            || self.gone()
            || self.quiet(now) > self.patience() * LOST_TIMES && self.asked_enough()
    }

    pub(crate) fn enter(&mut self, now: u64, state: State) {
        if self.state == state {
            return;
        }
        // Rooms and steps belong to what was there before.
        if state.is_out() {
            self.room.forget();
            self.pace = None;
        }
        (self.state, self.since) = (state, now);
    }

    pub(crate) fn evidence(&self, now: u64) -> Evidence {
        Evidence {
            listed: self.listed().count(),
            silent: self.listed().filter(|s| !s.counts()).count(),
            quiet: self.quiet(now),
            losses: self.held.losses,
            held_until: self.held.until,
        }
    }
}

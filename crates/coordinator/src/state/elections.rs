//! Elections: who leads which, under which fencing token.

use super::{done, rejected, ReplicatedState};
use crate::protocol::{wire, CommandResponse, Election, ResponseCode};
use chalkdeck_leader_election::placement::{choose_leader, rebalance, Candidate, Reassignment};
use chalkdeck_leader_election::SessionId;

/// The election whose leader judges proposals of contracts and rule sets, one after another.
pub const REGISTRAR: &str = "registrar";
/// The election whose leader folds hits of gateways that are gone into the totals.
pub const HIT_TOTALS: &str = "tally";
/// The election whose leader publishes operators' overrides of sites.
pub const SITE_OVERRIDES: &str = "site-words";

const MAX_ELECTIONS: usize = 64;
/// Bytes of an election's name.
const MAX_NAME_BYTES: usize = 128;
/// Bytes of the progress that a leader leaves to the next.
const MAX_PROGRESS_BYTES: usize = 64 << 10;
/// Stands for no session where an election's leader, or next leader, is stored.
const NOBODY: u64 = 0;

impl ReplicatedState {
    /// Creates an election unless it exists.
    pub(super) fn ensure_election(&mut self, name: &str) -> CommandResponse {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return rejected(
                ResponseCode::Refused,
                "expected a name of at most 128 bytes",
            );
        }
        if self.elections.contains_key(name) {
            return done();
        }
        if self.elections.len() >= MAX_ELECTIONS {
            let reason = format!("there are {MAX_ELECTIONS} duties");
            return rejected(ResponseCode::Full, reason);
        }
        let election = Election {
            name: name.into(),
            changed: self.next_version(),
            ..Election::default()
        };
        self.elections.insert(name.into(), election);
        self.place_vacant_elections();
        done()
    }

    /// Checks that a token is that of the election's present leader; on an effect of a leader this is the fencing guard.
    pub(super) fn check_leader(
        &self,
        name: &str,
        token: u64,
    ) -> Result<&Election, CommandResponse> {
        let Some(election) = self.elections.get(name) else {
            return Err(rejected(ResponseCode::Refused, format!("no duty '{name}'")));
        };
        if election.leader != NOBODY && election.token == token {
            return Ok(election);
        }
        let reason = format!(
            "token {token} of {name}: the present one is {}",
            election.token
        );
        Err(CommandResponse {
            token: election.token,
            ..rejected(ResponseCode::Stale, reason)
        })
    }

    /// The leaders of all elections, in the order of the elections' names.
    fn leaders(&self) -> Vec<Option<SessionId>> {
        let holders = self.elections.values().map(|election| election.leader);
        holders.map(session_of).collect()
    }

    fn candidates(&self) -> Vec<Candidate<'_>> {
        let candidates = self.sessions.iter().filter(|(_, s)| s.candidate);
        candidates
            .map(|(id, session)| Candidate {
                session: *id,
                site: &session.site,
            })
            .collect()
    }

    /// Has elections without a leader led by the gateways that lead least.
    pub(super) fn place_vacant_elections(&mut self) {
        let names: Vec<String> = self.elections.keys().cloned().collect();
        for (place, name) in names.into_iter().enumerate() {
            let leaders = self.leaders();
            if leaders[place].is_some() {
                continue;
            }
            if let Some(leader) = choose_leader(&leaders, &self.candidates(), None) {
                self.elect(&name, leader);
            }
        }
    }

    /// Makes a session the leader, under the next token.
    fn elect(&mut self, name: &str, leader: SessionId) {
        let changed = self.next_version();
        if let Some(election) = self.elections.get_mut(name) {
            election.leader = leader.0;
            election.token += 1;
            election.move_to = NOBODY;
            election.changed = changed;
        }
    }

    /// A session is over, or resigned: others lead its elections, and none is moved to it.
    pub(super) fn vacate_elections(&mut self, session: SessionId) {
        let changed = self.next_version();
        for election in self.elections.values_mut() {
            if election.leader != session.0 && election.move_to != session.0 {
                continue;
            }
            if election.leader == session.0 {
                election.leader = NOBODY;
            }
            election.move_to = NOBODY;
            election.changed = changed;
        }
        self.place_vacant_elections();
    }

    /// A leader steps down, and leaves its progress to the next.
    pub(super) fn release_election(&mut self, release: &wire::ReleaseElection) -> CommandResponse {
        if release.progress.len() > MAX_PROGRESS_BYTES {
            let reason = format!("progress: expected at most {MAX_PROGRESS_BYTES} bytes");
            return rejected(ResponseCode::Full, reason);
        }
        let election = match self.check_leader(&release.election, release.token) {
            Ok(election) => election,
            Err(stale) => return stale,
        };
        let next_leader = self.successor(election, SessionId(release.session));
        if let Some(election) = self.elections.get_mut(&release.election) {
            election.progress.clone_from(&release.progress);
            election.leader = NOBODY;
        }
        match next_leader {
            Some(leader) => self.elect(&release.election, leader),
            None => {
                let changed = self.next_version();
                if let Some(election) = self.elections.get_mut(&release.election) {
                    election.changed = changed;
                }
            }
        }
        done()
    }

    /// Who leads an election after its leader steps down: the session that it is to be moved to, if that is still a candidate.
    fn successor(&self, election: &Election, leader: SessionId) -> Option<SessionId> {
        let is_candidate = |id: &SessionId| self.sessions.get(id).is_some_and(|s| s.candidate);
        session_of(election.move_to)
            .filter(is_candidate)
            .or_else(|| choose_leader(&self.leaders(), &self.candidates(), Some(leader)))
    }

    /// An election is to be moved to balance the load: its leader is asked to step down.
    pub(super) fn request_move(&mut self, request: &wire::MoveElection) -> CommandResponse {
        if let Err(stale) = self.check_leader(&request.election, request.token) {
            return stale;
        }
        if !self.sessions.contains_key(&SessionId(request.to)) {
            return rejected(ResponseCode::NoSession, "no such session");
        }
        let changed = self.next_version();
        if let Some(election) = self.elections.get_mut(&request.election) {
            election.move_to = request.to;
            election.moved_ms = self.time_ms;
            election.changed = changed;
        }
        done()
    }

    /// The next move that balances the load, of an election that was not moved for so long, in milliseconds of the agreed time.
    pub fn next_move(&self, min_interval_ms: u64) -> Option<wire::MoveElection> {
        // One at a time: none is asked to step down while another has not yet.
        if self.elections.values().any(|e| e.move_to != NOBODY) {
            return None;
        }
        let Reassignment { election, to } = rebalance(&self.leaders(), &self.candidates())?;
        let election = self.elections.values().nth(election)?;
        let may_move =
            election.moved_ms == 0 || self.time_ms >= election.moved_ms + min_interval_ms;
        may_move.then(|| wire::MoveElection {
            election: election.name.clone(),
            token: election.token,
            to: to.0,
        })
    }

    /// All elections, in the order of their names.
    pub fn elections(&self) -> impl Iterator<Item = &Election> {
        self.elections.values()
    }
}

/// The session under an id that may stand for nobody.
fn session_of(id: u64) -> Option<SessionId> {
    (id != NOBODY).then_some(SessionId(id))
}

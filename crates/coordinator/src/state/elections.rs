//! Elections: the session that leads each election, and its fencing token.

use super::{done, rejected, ReplicatedState};
use crate::protocol::{wire, CommandResponse, Election, ResponseCode};
use chalkdeck_leader_election::placement::{choose_leader, rebalance, Candidate, Reassignment};
use chalkdeck_leader_election::SessionId;

/// The election of the registrar, which judges proposals of contracts and rule sets one after another.
pub const REGISTRAR_ELECTION: &str = "registrar";
/// The election whose leader folds the rule hits of ended gateway incarnations into the totals.
pub const HIT_TOTALS_ELECTION: &str = "tally";
/// The election whose leader publishes operators' overrides of sites.
pub const SITE_OVERRIDES_ELECTION: &str = "site-words";

const MAX_ELECTIONS: usize = 64;
/// Maximum length of an election's name.
const MAX_NAME_BYTES: usize = 128;
/// Maximum size of the progress that a leader hands over to its successor.
const MAX_PROGRESS_BYTES: usize = 64 << 10;
/// The stored value of an election's leader or `move_to` if there is no such session.
const NO_SESSION_ID: u64 = 0;

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
            changed: self.increment_version(),
            ..Election::default()
        };
        self.elections.insert(name.into(), election);
        self.elect_missing_leaders();
        done()
    }

    /// Checks that a token is that of the election's current leader. This fences off commands of earlier leaders.
    pub(super) fn check_leader(
        &self,
        name: &str,
        token: u64,
    ) -> Result<&Election, CommandResponse> {
        let Some(election) = self.elections.get(name) else {
            return Err(rejected(ResponseCode::Refused, format!("no duty '{name}'")));
        };
        if election.leader != NO_SESSION_ID && election.token == token {
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
        let leaders = self.elections.values().map(|election| election.leader);
        leaders.map(session_from_wire).collect()
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

    /// Elects a leader for each election without one, from the gateways that lead the fewest elections.
    pub(super) fn elect_missing_leaders(&mut self) {
        let names: Vec<String> = self.elections.keys().cloned().collect();
        for (index, name) in names.into_iter().enumerate() {
            let leaders = self.leaders();
            if leaders[index].is_some() {
                continue;
            }
            if let Some(leader) = choose_leader(&leaders, &self.candidates(), None) {
                self.elect(&name, leader);
            }
        }
    }

    /// Makes a session the leader of an election, under the next token.
    fn elect(&mut self, name: &str, leader: SessionId) {
        let changed = self.increment_version();
        if let Some(election) = self.elections.get_mut(name) {
            election.leader = leader.0;
            election.token += 1;
            election.move_to = NO_SESSION_ID;
            election.changed = changed;
        }
    }

    /// Removes a session that ended or resigned as leader and as `move_to` of all elections, and elects other leaders.
    pub(super) fn vacate_elections(&mut self, session: SessionId) {
        let changed = self.increment_version();
        for election in self.elections.values_mut() {
            if election.leader != session.0 && election.move_to != session.0 {
                continue;
            }
            if election.leader == session.0 {
                election.leader = NO_SESSION_ID;
            }
            election.move_to = NO_SESSION_ID;
            election.changed = changed;
        }
        self.elect_missing_leaders();
    }

    /// Lets a leader step down; its progress is stored for its successor.
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
            election.leader = NO_SESSION_ID;
        }
        match next_leader {
            Some(leader) => self.elect(&release.election, leader),
            None => {
                let changed = self.increment_version();
                if let Some(election) = self.elections.get_mut(&release.election) {
                    election.changed = changed;
                }
            }
        }
        done()
    }

    /// The next leader after `leader` steps down: the session that the election is to be moved to if that is still a candidate,
    /// else the candidate with the lowest load, other than `leader` if there is any.
    fn successor(&self, election: &Election, leader: SessionId) -> Option<SessionId> {
        let is_candidate = |id: &SessionId| self.sessions.get(id).is_some_and(|s| s.candidate);
        session_from_wire(election.move_to)
            .filter(is_candidate)
            .or_else(|| choose_leader(&self.leaders(), &self.candidates(), Some(leader)))
    }

    /// Asks an election's leader to step down, so that the election moves to another session to balance the load.
    pub(super) fn request_move(&mut self, request: &wire::MoveElection) -> CommandResponse {
        if let Err(stale) = self.check_leader(&request.election, request.token) {
            return stale;
        }
        if !self.sessions.contains_key(&SessionId(request.to)) {
            return rejected(ResponseCode::NoSession, "no such session");
        }
        let changed = self.increment_version();
        if let Some(election) = self.elections.get_mut(&request.election) {
            election.move_to = request.to;
            election.moved_ms = self.time_ms;
            election.changed = changed;
        }
        done()
    }

    /// The next move that balances the load. An election that was moved less than `min_interval_ms` of the agreed time ago stays.
    pub fn next_move(&self, min_interval_ms: u64) -> Option<wire::MoveElection> {
        // One at a time: no leader is asked to step down while another move is pending.
        if self.elections.values().any(|e| e.move_to != NO_SESSION_ID) {
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

    /// All elections, ordered by name.
    pub fn elections(&self) -> impl Iterator<Item = &Election> {
        self.elections.values()
    }
}

/// Converts a stored session id; `None` for [`NO_SESSION_ID`].
fn session_from_wire(id: u64) -> Option<SessionId> {
    (id != NO_SESSION_ID).then_some(SessionId(id))
}

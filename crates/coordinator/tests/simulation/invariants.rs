//! Invariants that must hold under all faults.

use super::gateways::{GatewayNode, CUSTOMER};
use super::operators::PROPOSER;
use super::{Simulation, EFFECTS_ELECTION};
use chalkdeck_coordinator::agent::GatewayAgent;
use chalkdeck_coordinator::replica::Replica;
use chalkdeck_coordinator::state::{HIT_TOTALS_ELECTION, REGISTRAR_ELECTION};
use chalkdeck_leader_election::FencingToken;

/// Maximum number of commands by which replicas may lag behind each other after recovery.
const MAX_LAG_COMMANDS: u64 = 40;
/// Maximum number of differing lines that are printed.
const MAX_DIFFERENCES: usize = 8;

impl Simulation {
    /// Checks the invariants after each event. If the environment variable `SAME` is set, also compares the states of replicas, which
    /// is slow.
    pub(super) fn check_invariants(&mut self) {
        if std::env::var("SAME").is_ok() {
            self.check_equal_states();
            if !self.violations.is_empty() {
                return;
            }
        }
        self.check_single_leader();
        self.check_rules_in_force();
    }

    fn running_replicas(&self) -> Vec<&Replica> {
        self.replicas
            .iter()
            .filter_map(|node| node.core())
            .collect()
    }

    fn token_at(&self, gateway: &GatewayNode, election: &str) -> Option<FencingToken> {
        let now = gateway.clock.at(self.now);
        let agent = gateway.agent.as_ref()?;
        agent.session().leader_token(election, now)
    }

    fn check_equal_states(&mut self) {
        let now = self.now;
        let running = self.running_replicas();
        let Some((one, other)) = find_differing_replicas(&running) else {
            return;
        };
        let one = format!("{:#?}", one.state().to_snapshot());
        let other = format!("{:#?}", other.state().to_snapshot());
        let differences: Vec<_> = one
            .lines()
            .zip(other.lines())
            .filter(|(one, other)| one != other)
            .take(MAX_DIFFERENCES)
            .collect();
        let violation = format!("{now}: states differ {differences:#?}");
        self.violations.push(violation);
    }

    fn check_single_leader(&mut self) {
        let now = self.now;
        let gateways = self.gateways.iter().enumerate();
        let leaders: Vec<(usize, FencingToken)> = gateways
            .filter_map(|(index, gateway)| Some((index, self.token_at(gateway, EFFECTS_ELECTION)?)))
            .collect();
        if leaders.len() > 1 {
            self.violations
                .push(format!("{now}: {leaders:?} lead one election"));
        }
        if !leaders.is_empty() {
            self.last_led_at = now;
        }
    }

    /// A gateway with a session must apply at least the version in force of each rule set; without a session the set denies all calls.
    fn check_rules_in_force(&mut self) {
        let now = self.now;
        for (customer, version) in &self.in_force {
            for (index, gateway) in self.gateways.iter().enumerate() {
                let Some(session) = gateway.agent.as_ref().map(GatewayAgent::session) else {
                    continue;
                };
                let cached = session.state().rules.get(customer);
                let cached = cached.map_or(0, |set| set.version);
                if session.is_valid(gateway.clock.at(now)) && cached < *version {
                    self.violations.push(format!(
                        "{now}: g{index} applies version {cached} of the rules of {customer}, {version} is in force"
                    ));
                }
            }
        }
    }

    /// Whether a replica that has a quorum has a session of the gateway.
    pub fn has_session(&self, gateway: usize) -> bool {
        let name = format!("g{gateway}");
        let running = self.running_replicas();
        let mut with_quorum = running.iter().filter(|replica| replica.has_quorum());
        with_quorum.any(|replica| replica.state().sessions().any(|s| s.gateway == name))
    }

    /// How long [`EFFECTS_ELECTION`] has had no leader; zero while it has one.
    pub fn time_without_leader(&self) -> u64 {
        let mut gateways = self.gateways.iter();
        if gateways.any(|gateway| self.token_at(gateway, EFFECTS_ELECTION).is_some()) {
            return 0;
        }
        self.now - self.last_led_at
    }

    /// Checks what must hold after all faults have ended and the fleet has recovered.
    pub fn check_after_recovery(&mut self) {
        self.check_replicas_agree();
        self.check_service();
    }

    /// Checks what gateways and operators rely on after recovery, even if single replicas lag behind.
    pub fn check_service(&mut self) {
        self.check_elections_have_leaders();
        self.check_history();
        self.check_hits();
    }

    fn check_replicas_agree(&mut self) {
        let taking_part: Vec<&Replica> = self
            .running_replicas()
            .into_iter()
            .filter(|replica| !replica.is_outdated())
            .collect();
        let positions: Vec<(u64, u64)> = taking_part
            .iter()
            .map(|replica| (replica.state().index, replica.state().version))
            .collect();
        let indices = || positions.iter().map(|position| position.0);
        let lag = indices().max().unwrap_or(0) - indices().min().unwrap_or(0);
        let differ = find_differing_replicas(&taking_part).is_some();
        if lag > MAX_LAG_COMMANDS {
            self.violations
                .push(format!("replicas lag behind each other: {positions:?}"));
        }
        if differ {
            self.violations
                .push("two replicas have different states at the same log index".into());
        }
    }

    fn check_elections_have_leaders(&mut self) {
        for name in [EFFECTS_ELECTION, REGISTRAR_ELECTION, HIT_TOTALS_ELECTION] {
            let mut gateways = self.gateways.iter();
            if gateways.any(|gateway| self.token_at(gateway, name).is_some()) {
                continue;
            }
            let running = self.running_replicas();
            let taking_part = running.iter().filter(|replica| !replica.is_outdated());
            let elections: Vec<String> = taking_part
                .map(|replica| {
                    let election = replica.state().elections().find(|e| e.name == name);
                    format!("{election:?}")
                })
                .collect();
            self.violations
                .push(format!("{name} has no leader: {elections:?}"));
        }
    }

    /// No hit is counted twice despite lost and duplicated messages, expired sessions and folding; only killed gateways lose hits.
    fn check_hits(&mut self) {
        let running = self.running_replicas();
        let Some(replica) = running.iter().find(|replica| replica.has_quorum()) else {
            return;
        };
        let lines = replica.state().hit_lines(CUSTOMER);
        let reported: u64 = lines.iter().map(|line| line.count).sum();
        let min_reported = self.hits - self.hits_of_killed_gateways;
        if (min_reported..=self.hits).contains(&reported) {
            return;
        }
        if std::env::var("TELL").is_ok() {
            println!("{lines:?}");
            self.print_gateways();
        }
        self.violations.push(format!(
            "{reported} hits reported of {}, of which {} at killed gateways",
            self.hits, self.hits_of_killed_gateways
        ));
    }

    fn print_gateways(&self) {
        for (index, gateway) in self.gateways.iter().enumerate() {
            let session = gateway.agent.as_ref().map(GatewayAgent::session);
            println!("g{index}: {} {session:?}", gateway.hits);
        }
    }

    /// Ids in responses increase: a command that started after another one ended has the larger id.
    fn check_history(&mut self) {
        for (index, first) in self.history.iter().enumerate() {
            for second in &self.history[index + 1..] {
                if first.operator != second.operator {
                    continue;
                }
                if first.id == second.id && first.operator == PROPOSER {
                    self.violations.push(format!(
                        "two commands have the id {}: {first:?} {second:?}",
                        first.id
                    ));
                }
                if first.ended_at <= second.started_at && first.id > second.id {
                    self.violations
                        .push(format!("out of order: {first:?} {second:?}"));
                }
            }
        }
    }
}

/// Two replicas that are at the same log index of the same configuration but have different states.
fn find_differing_replicas<'a>(replicas: &[&'a Replica]) -> Option<(&'a Replica, &'a Replica)> {
    let position = |replica: &Replica| (replica.configuration(), replica.state().index);
    for (index, one) in replicas.iter().enumerate() {
        for other in &replicas[index + 1..] {
            let is_same_position = position(one) == position(other);
            if is_same_position && one.state().to_bytes() != other.state().to_bytes() {
                return Some((one, other));
            }
        }
    }
    None
}

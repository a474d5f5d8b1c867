//! What must hold whatever faults there are.

use super::gateways::{GatewayNode, CUSTOMER};
use super::operators::PROPOSER;
use super::{Simulation, LAB};
use chalkdeck_coordinator::agent::GatewayAgent;
use chalkdeck_coordinator::replica::Replica;
use chalkdeck_coordinator::state::{HIT_TOTALS, REGISTRAR};
use chalkdeck_leader_election::FencingToken;

/// Commands by which replicas may lag behind each other once it is quiet.
const MAX_LAG: u64 = 40;
/// Lines of a difference that are printed.
const MAX_DIFFERENCES: usize = 8;

impl Simulation {
    /// After each event. With `SAME` in the environment replicas are compared each time, too, which is slow.
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

    fn running(&self) -> Vec<&Replica> {
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
        let real = self.now;
        let running = self.running();
        let Some((one, other)) = differing_replicas(&running) else {
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
        let violation = format!("{real}: states differ {differences:#?}");
        self.violations.push(violation);
    }

    fn check_single_leader(&mut self) {
        let real = self.now;
        let gateways = self.gateways.iter().enumerate();
        let leaders: Vec<(usize, FencingToken)> = gateways
            .filter_map(|(index, gateway)| Some((index, self.token_at(gateway, LAB)?)))
            .collect();
        if leaders.len() > 1 {
            self.violations
                .push(format!("{real}: {leaders:?} lead one election"));
        }
        if !leaders.is_empty() {
            self.last_led = real;
        }
    }

    /// Without a session the set denies; with one its version must be the one in force at least.
    fn check_rules_in_force(&mut self) {
        let real = self.now;
        for (customer, version) in &self.in_force {
            for (index, gateway) in self.gateways.iter().enumerate() {
                let Some(session) = gateway.agent.as_ref().map(GatewayAgent::session) else {
                    continue;
                };
                let cached = session.state().rules.get(customer);
                let cached = cached.map_or(0, |set| set.version);
                if session.is_valid(gateway.clock.at(real)) && cached < *version {
                    self.violations.push(format!(
                        "{real}: g{index} admits {customer} by version {cached}, {version} is in force"
                    ));
                }
            }
        }
    }

    /// Whether a replica that has a quorum knows a session of the gateway.
    pub fn has_session(&self, gateway: usize) -> bool {
        let name = format!("g{gateway}");
        let running = self.running();
        let mut with_quorum = running.iter().filter(|replica| replica.has_quorum());
        with_quorum.any(|replica| replica.state().sessions().any(|s| s.gateway == name))
    }

    /// How long nobody has led the lab's election; zero while somebody does.
    pub fn vacant_for(&self) -> u64 {
        let mut gateways = self.gateways.iter();
        if gateways.any(|gateway| self.token_at(gateway, LAB).is_some()) {
            return 0;
        }
        self.now - self.last_led
    }

    /// What must hold once faults are over and all is quiet.
    pub fn check_quiet(&mut self) {
        self.check_replicas_agree();
        self.check_service();
    }

    /// What gateways and operators rely on once all is quiet, however far single replicas lag.
    pub fn check_service(&mut self) {
        self.check_elections_have_leaders();
        self.check_history();
        self.check_hits();
    }

    fn check_replicas_agree(&mut self) {
        let taking_part: Vec<&Replica> = self
            .running()
            .into_iter()
            .filter(|replica| !replica.is_outdated())
            .collect();
        let positions: Vec<(u64, u64)> = taking_part
            .iter()
            .map(|replica| (replica.state().index, replica.state().version))
            .collect();
        let indices = || positions.iter().map(|position| position.0);
        let lag = indices().max().unwrap_or(0) - indices().min().unwrap_or(0);
        let differ = differing_replicas(&taking_part).is_some();
        if lag > MAX_LAG {
            self.violations
                .push(format!("replicas are apart: {positions:?}"));
        }
        if differ {
            self.violations
                .push("two replicas have other states at one index of the log".into());
        }
    }

    fn check_elections_have_leaders(&mut self) {
        for name in [LAB, REGISTRAR, HIT_TOTALS] {
            let mut gateways = self.gateways.iter();
            if gateways.any(|gateway| self.token_at(gateway, name).is_some()) {
                continue;
            }
            let running = self.running();
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

    /// No hit counts twice, whatever was lost, repeated, expired and folded; only killed gateways lose any.
    fn check_hits(&mut self) {
        let running = self.running();
        let Some(replica) = running.iter().find(|replica| replica.has_quorum()) else {
            return;
        };
        let lines = replica.state().hit_lines(CUSTOMER);
        let reported: u64 = lines.iter().map(|line| line.count).sum();
        let least = self.hits - self.hits_of_killed;
        if (least..=self.hits).contains(&reported) {
            return;
        }
        if std::env::var("TELL").is_ok() {
            println!("{lines:?}");
            self.print_gateways();
        }
        self.violations.push(format!(
            "{reported} hits of {}, of which {} at killed ones",
            self.hits, self.hits_of_killed
        ));
    }

    fn print_gateways(&self) {
        for (index, gateway) in self.gateways.iter().enumerate() {
            let session = gateway.agent.as_ref().map(GatewayAgent::session);
            println!("g{index}: {} {session:?}", gateway.hits);
        }
    }

    /// Ids of responses only grow: a command that began after another ended has the larger one.
    fn check_history(&mut self) {
        for (place, first) in self.history.iter().enumerate() {
            for second in &self.history[place + 1..] {
                if first.operator != second.operator {
                    continue;
                }
                if first.id == second.id && first.operator == PROPOSER {
                    self.violations.push(format!(
                        "two commands have the id {}: {first:?} {second:?}",
                        first.id
                    ));
                }
                if first.ended <= second.begun && first.id > second.id {
                    self.violations
                        .push(format!("out of order: {first:?} {second:?}"));
                }
            }
        }
    }
}

/// Two replicas of one configuration that are as far in its log and have other states.
fn differing_replicas<'a>(replicas: &[&'a Replica]) -> Option<(&'a Replica, &'a Replica)> {
    let position = |replica: &Replica| (replica.configuration(), replica.state().index);
    for (place, one) in replicas.iter().enumerate() {
        for other in &replicas[place + 1..] {
            let is_same_position = position(one) == position(other);
            if is_same_position && one.state().to_bytes() != other.state().to_bytes() {
                return Some((one, other));
            }
        }
    }
    None
}

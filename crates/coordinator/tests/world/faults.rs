//! What befalls the fleet, and what must hold all the same.

use super::*;

impl World {
    pub(super) fn befall(&mut self, fault: Fault) {
        match fault {
            Fault::Cut(a, b) => drop(self.cut.insert((a, b))),
            Fault::Heal(a, b) => drop(self.cut.remove(&(a, b))),
            Fault::HealAll => {
                self.cut.clear();
                self.loss = 0;
            }
            Fault::Loss(part) => self.loss = part,
            Fault::Crash(k) => {
                let node = &mut self.keepers[k];
                (node.core, node.journal) = (None, None);
                node.disk = node.disk.after_crash();
            }
            Fault::Start(k) if self.keepers[k].core.is_none() => {
                let node = &mut self.keepers[k];
                node.disk = node.disk.after_crash();
                // One that never took part may not say that it is the first time.
                self.start_keeper(k, Start::Join);
            }
            Fault::Start(_) => {}
            Fault::LoseDisk(k) => {
                let node = &mut self.keepers[k];
                (node.core, node.journal) = (None, None);
                node.disk = SimulatedDisk::new(self.rng.u64(..));
            }
            Fault::CopyDisk(k) => self.keepers[k].copy = Some(self.keepers[k].disk.after_crash()),
            Fault::OldDisk(k) => {
                let node = &mut self.keepers[k];
                if let Some(copy) = node.copy.take() {
                    (node.core, node.journal, node.disk) = (None, None, copy);
                }
            }
            Fault::Stall(Node::Keeper(k), until) => self.keepers[k].stalled = until,
            Fault::Stall(Node::Gateway(g), until) => self.gateways[g].stalled = until,
            Fault::Stall(..) => {}
            Fault::KillGateway(g) => {
                let node = &mut self.gateways[g];
                if node.member.take().is_some() {
                    self.hits_killed += node.hits;
                }
            }
            Fault::StartGateway(g) if self.gateways[g].member.is_none() => self.start_gateway(g),
            Fault::StartGateway(_) => {}
            Fault::EndGateway(g) => {
                if let Some(member) = &mut self.gateways[g].member {
                    member.resign();
                    member.close();
                    self.flush(g);
                    self.befall(Fault::KillGateway(g));
                }
            }
            Fault::DiskFull(k) => self.keepers[k].disk.fail_next_append(),
        }
    }

    pub(super) fn check(&mut self) {
        let real = self.now;
        if std::env::var("SAME").is_ok() {
            let up: Vec<&Keeper> = self
                .keepers
                .iter()
                .filter_map(|k| k.core.as_ref())
                .collect();
            for (i, a) in up.iter().enumerate() {
                for b in &up[i + 1..] {
                    if same_place(a, b) && a.state().to_bytes() != b.state().to_bytes() {
                        let (a, b) = (
                            format!("{:#?}", a.state().to_wire()),
                            format!("{:#?}", b.state().to_wire()),
                        );
                        let differs: Vec<_> = a
                            .lines()
                            .zip(b.lines())
                            .filter(|(a, b)| a != b)
                            .take(8)
                            .collect();
                        self.broken
                            .push(format!("{real}: states differ {differs:#?}"));
                        return;
                    }
                }
            }
        }
        let holds = |g: &GatewayNode| {
            let now = g.clock.at(real);
            g.member.as_ref().and_then(|m| m.session().holds(LAB, now))
        };
        let holders: Vec<(usize, u64)> = self
            .gateways
            .iter()
            .enumerate()
            .filter_map(|(i, g)| Some((i, holds(g)?)))
            .collect();
        if holders.len() > 1 {
            self.broken
                .push(format!("{real}: {holders:?} hold one duty"));
        }
        if holders.is_empty() {
            self.unheld = real;
        }
        for (customer, version) in &self.in_force {
            for (i, g) in self.gateways.iter().enumerate() {
                let Some(session) = g.member.as_ref().map(Member::session) else {
                    continue;
                };
                let held = session.held.rules.get(customer).map_or(0, |s| s.version);
                // Without a session the set denies; with one its version must be the one in force at least.
                if session.stands(g.clock.at(real)) && held < *version {
                    self.broken.push(format!(
                        "{real}: g{i} admits {customer} by version {held}, {version} is in force"
                    ));
                }
            }
        }
    }

    /// What must hold once faults are over and all is quiet.
    pub fn check_quiet(&mut self) {
        let up: Vec<&Keeper> = self
            .keepers
            .iter()
            .filter_map(|k| k.core.as_ref())
            .filter(|k| !k.outdated)
            .collect();
        let states: Vec<(u64, u64)> = up
            .iter()
            .map(|k| (k.state().index, k.state().version))
            .collect();
        let apart = states.iter().map(|s| s.0).max().unwrap_or(0)
            - states.iter().map(|s| s.0).min().unwrap_or(0);
        if apart > 40 {
            self.broken.push(format!("keepers are apart: {states:?}"));
        }
        let same = up.iter().enumerate().any(|(i, a)| {
            up[i + 1..]
                .iter()
                .any(|b| same_place(a, b) && a.state().to_bytes() != b.state().to_bytes())
        });
        if same {
            self.broken
                .push("two keepers hold other states at one place of the log".into());
        }
        for duty in [LAB, REGISTRAR, TALLY] {
            let held = self.gateways.iter().any(|g| {
                let now = g.clock.at(self.now);
                g.member
                    .as_ref()
                    .is_some_and(|m| m.session().holds(duty, now).is_some())
            });
            if !held {
                let held: Vec<String> = up
                    .iter()
                    .map(|k| format!("{:?}", k.state().duties().find(|d| d.name == duty)))
                    .collect();
                self.broken.push(format!("{duty} is not held: {held:?}"));
            }
        }
        self.check_history();
        self.check_hits();
    }

    /// No hit counts twice, whatever was lost, repeated, lapsed and folded; only killed gateways lose any.
    fn check_hits(&mut self) {
        let Some(state) = self
            .keepers
            .iter()
            .filter_map(|k| k.core.as_ref())
            .find(|k| k.has_majority())
        else {
            return;
        };
        let told: u64 = state.state().hit_lines("c0").iter().map(|l| l.count).sum();
        let least = self.hits - self.hits_killed;
        if !(least..=self.hits).contains(&told) {
            if std::env::var("TELL").is_ok() {
                println!("{:?}", state.state().hit_lines("c0"));
                for (i, g) in self.gateways.iter().enumerate() {
                    println!(
                        "g{i}: {} {:?}",
                        g.hits,
                        g.member.as_ref().map(Member::session)
                    );
                }
            }
            self.broken.push(format!(
                "{told} hits of {}, of which {} at killed ones",
                self.hits, self.hits_killed
            ));
        }
    }

    /// Answers are numbers that only grow: a command that began after another ended has the larger one.
    pub(super) fn check_history(&mut self) {
        for (i, a) in self.history.iter().enumerate() {
            for b in &self.history[i + 1..] {
                let same = a.operator == b.operator;
                if same && a.id == b.id && a.operator == 0 {
                    self.broken.push(format!(
                        "two commands have the answer {}: {a:?} {b:?}",
                        a.id
                    ));
                }
                if same && a.ended <= b.begun && a.id > b.id {
                    self.broken.push(format!("out of order: {a:?} {b:?}"));
                }
            }
        }
    }
    pub fn proposals(&self) -> u64 {
        self.proposals
    }
}

/// Of one configuration, and as far in its log.
fn same_place(a: &Keeper, b: &Keeper) -> bool {
    (a.configuration(), a.state().index) == (b.configuration(), b.state().index)
}

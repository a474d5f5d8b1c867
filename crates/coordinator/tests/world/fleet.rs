//! Keepers, gateways and operators as nodes of the world.

use super::*;

impl World {
    pub(super) fn start_keeper(&mut self, k: usize, start: Start) {
        let keepers = self.count as u32;
        let node = &mut self.keepers[k];
        node.starts += 1;
        let incarnation = (k as u64 + 1) << 32 | node.starts;
        let begun = match Journal::open(node.disk.clone(), incarnation) {
            Ok(begun) => begun,
            Err(e) => {
                self.broken.push(format!("keeper {k} does not start: {e}"));
                return;
            }
        };
        let Begun {
            mut journal,
            kept,
            position,
            identity,
            ..
        } = begun;
        journal.snapshot_after(200_000);
        let set = Set {
            slot: k as u32 + 1,
            keepers,
            terms: TERMS,
            move_ms: 3_000,
            dead_after_ms: 1_000_000,
            snapshot_entries: 300,
            duties: vec![LAB.into()],
            incarnation: identity.incarnation ^ (node.starts << 16),
            epoch: identity.epoch,
        };
        let now = node.clock.at(self.now);
        let set = Set {
            incarnation: if kept.configuration.number == 0 {
                identity.incarnation
            } else {
                set.incarnation
            },
            ..set
        };
        match Keeper::new(set, kept, position, start, now) {
            Ok(core) => (node.core, node.journal) = (Some(core), Some(journal)),
            Err(e) => self.broken.push(format!("keeper {k}: {e}")),
        }
        self.keeper(k, |_, _| {});
    }

    /// One turn of a keeper: what comes in, its record on the disk, then what goes out.
    pub(super) fn keeper(&mut self, k: usize, f: impl FnOnce(&mut Keeper, u64)) {
        let node = &mut self.keepers[k];
        let now = node.clock.at(self.now);
        let (Some(core), Some(journal)) = (&mut node.core, &mut node.journal) else {
            return;
        };
        core.at(now);
        f(core, now);
        if let Some(record) = core.end_turn() {
            if journal.write(&record).is_err() {
                // What it would have said is not said.
                (node.core, node.journal) = (None, None);
                return;
            }
            if journal.has_grown() && journal.snapshot(&core.kept()).is_err() {
                (node.core, node.journal) = (None, None);
                return;
            }
        }
        let outs = core.take_out();
        for out in outs {
            self.keeper_out(k, out);
        }
    }

    pub(super) fn keeper_out(&mut self, k: usize, out: Out) {
        let from = Node::Keeper(k);
        match out {
            Out::Peer(slot, between) => self.send(
                from,
                Node::Keeper(slot as usize - 1),
                Message::Between(*between),
            ),
            Out::AskMembers(slot, request) => {
                self.send(
                    from,
                    Node::Keeper(slot as usize - 1),
                    Message::AskMembers(k, request),
                );
            }
            Out::Answer(asker, answer) => {
                self.back(k, asker, |stream| Message::Told(stream, answer))
            }
            Out::Looked(asker, answer) => {
                self.back(k, asker, |stream| Message::Looked(stream, *answer))
            }
            Out::Down(asker, down) => self.back(k, asker, |stream| Message::Down(stream, *down)),
        }
    }

    pub(super) fn back(&mut self, k: usize, asker: Asker, message: impl FnOnce(u64) -> Message) {
        let Some((node, stream)) = self.keepers[k].streams.get(&asker).copied() else {
            return;
        };
        self.send(Node::Keeper(k), node, message(stream));
    }

    pub fn keeper_core(&self, k: usize) -> Option<&Keeper> {
        self.keepers[k].core.as_ref()
    }

    pub(super) fn start_gateway(&mut self, g: usize) {
        let node = &mut self.gateways[g];
        node.life += 1;
        let open = wire::Open {
            gateway: format!("g{g}"),
            site: ["north", "south", "west"][g % 3].into(),
            incarnation: (g as u64 + 1) << 20 | node.life,
            candidate: true,
        };
        let (now, seed) = (node.clock.at(self.now), self.rng.u64(..));
        let set = MemberSet {
            open,
            keepers: self.keepers.len(),
            report_every: 300 * MS,
            seed,
        };
        let mut member = Member::new(set, node.kept.clone(), now);
        member.kept(now, node.kept.version);
        node.member = Some(member);
        (node.hits, node.stream) = (0, 0);
    }

    pub(super) fn gateway_tick(&mut self, g: usize) {
        let node = &mut self.gateways[g];
        let now = node.clock.at(self.now);
        let Some(member) = &mut node.member else {
            return;
        };
        member.tick(now);
        if !self.quiet && self.rng.u8(..) < 40 && member.access().get("c0").is_some() {
            let call = Call {
                caller_region: "eu",
                gateway_region: "north",
                path: "/farm.v1.Farm/View",
                class: "view",
            };
            member.arrives(now, "c0", &call, None);
            node.hits += 1;
            self.hits += 1;
        }
        if let Some(token) = member.session().holds(LAB, now) {
            // It looked; it may stand still before it acts.
            let (wait, life) = (
                if self.rng.u8(..) < 4 {
                    self.rng.u64(0..3 * TERMS.lease.as_micros())
                } else {
                    0
                },
                node.life,
            );
            self.at(wait, Event::Act(g, token, life));
        }
        self.flush(g);
    }

    pub(super) fn act(&mut self, g: usize, token: u64, life: u64) {
        if self.gateways[g].life != life || self.gateways[g].member.is_none() {
            return;
        }
        self.gateways[g].acted += 1;
        let number = self.gateways[g].acted;
        self.send(
            Node::Gateway(g),
            Node::Sink,
            Message::Effect(g, token, number),
        );
    }

    pub(super) fn effect(&mut self, g: usize, token: u64) {
        if self.sink.check(FencingToken(token)).is_err() {
            self.refused_effects += 1;
            return;
        }
        self.effects += 1;
        let first = *self.tokens.entry(token).or_insert(g);
        if first != g {
            self.broken
                .push(format!("token {token} was g{first}'s and is g{g}'s"));
        }
    }

    /// What a gateway has to do. A connection stands as soon as it is asked for; one that is cut carries nothing.
    pub(super) fn flush(&mut self, g: usize) {
        loop {
            let node = &mut self.gateways[g];
            let now = node.clock.at(self.now);
            let Some(member) = &mut node.member else {
                return;
            };
            let acts = member.take();
            if acts.is_empty() {
                return;
            }
            for act in acts {
                let node = &mut self.gateways[g];
                let Some(member) = &mut node.member else {
                    return;
                };
                match act {
                    Act::Dial(place) => {
                        (node.keeper, node.stream) = (place, self.rng.u64(1..u64::MAX));
                        member.connected(now);
                    }
                    Act::Up(up) => {
                        let (keeper, stream) = (node.keeper, node.stream);
                        self.send(
                            Node::Gateway(g),
                            Node::Keeper(keeper),
                            Message::Up(stream, *up),
                        );
                    }
                    Act::Keep(_) => {
                        node.kept = member.session().held.clone();
                        member.kept(now, node.kept.version);
                    }
                    Act::Recheck(_) | Act::RecheckAll | Act::Contracts | Act::Word(_) => {}
                }
            }
        }
    }

    pub(super) fn down(&mut self, g: usize, stream: u64, down: wire::Down) {
        let node = &mut self.gateways[g];
        let now = node.clock.at(self.now);
        let Some(member) = node.member.as_mut().filter(|_| stream == node.stream) else {
            return;
        };
        member.down(now, down);
        self.flush(g);
    }

    pub(super) fn operator_tick(&mut self, o: usize) {
        let (real, keepers) = (self.now, self.keepers.len());
        let keeper = Node::Keeper(self.rng.usize(0..keepers));
        let node = &mut self.operators[o];
        if let Some(command) = node.waiting.clone() {
            // No answer: the same command again, wherever.
            if real >= node.sent + 700 * MS {
                node.sent = real;
                self.send(
                    Node::Operator(o),
                    keeper,
                    Message::Tell(command.number, command),
                );
            }
            return;
        }
        if let Some(proposal) = node.watched {
            let request = wire::LookRequest {
                what: wire::look_request::What::Verdict as i32,
                proposal,
                ..wire::LookRequest::default()
            };
            return self.send(Node::Operator(o), keeper, Message::Look(proposal, request));
        }
        node.number += 1;
        let what = if o == 0 {
            // The first proposes sets; the history is of its answers, which are numbers that only grow.
            let set = wire::RuleSet {
                customer: "c0".into(),
                otherwise: wire::access_rule::Action::Allow as i32,
                stale: wire::rule_set::Stale::Deny as i32,
                ..wire::RuleSet::default()
            };
            What::Propose(wire::Propose {
                what: Some(wire::propose::What::Rules(set)),
                force: true,
            })
        } else {
            let word = wire::Word {
                site: "north".into(),
                word: "hold".into(),
            };
            What::Word(word)
        };
        let (caller, number) = (node.caller, node.number);
        let command = wire::Command {
            caller,
            number,
            begun: 0,
            what: Some(what),
            ..wire::Command::default()
        };
        (node.begun, node.sent, node.waiting) = (real, real, Some(command.clone()));
        self.send(Node::Operator(o), keeper, Message::Tell(number, command));
    }

    pub(super) fn told(&mut self, o: usize, number: u64, answer: wire::Answer) {
        let real = self.now;
        let node = &mut self.operators[o];
        if node.waiting.as_ref().is_none_or(|c| c.number != number) {
            return;
        }
        // Not taken in: the same again.
        if answer.code != wire::answer::Code::Done as i32 {
            return;
        }
        node.waiting = None;
        let id = if o == 0 { answer.id } else { answer.version };
        let done = Done {
            operator: o,
            begun: node.begun,
            ended: real,
            id,
        };
        if o == 0 {
            node.watched = Some(answer.id);
            self.proposals += 1;
        }
        self.history.push(done);
    }

    pub(super) fn looked(&mut self, o: usize, answer: wire::LookAnswer) {
        let node = &mut self.operators[o];
        let Some(verdict) = answer.verdict.filter(|v| Some(v.proposal) == node.watched) else {
            return;
        };
        let Some(in_force) = answer.in_force else {
            return;
        };
        if !in_force.in_force
            || !in_force.unknown.is_empty()
            || in_force.version < verdict.set_version
        {
            return;
        }
        node.watched = None;
        self.applied_in_force += 1;
        let version = self.in_force.entry(verdict.customer).or_default();
        *version = (*version).max(in_force.version);
    }
}

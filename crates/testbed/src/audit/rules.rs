//! Checks the five rules of a run from what crossed the sockets of clients and servers, and what the run itself did;
//! never from what a gateway says.

use crate::common::event_log::{self, CallOutcome, Entry};
use crate::common::script;
use chalkdeck_proto::chalkdeck::config::v1::{class, Class, Plan};
use chalkdeck_proto::chalkdeck::lab::v1::Day;
use std::collections::{BTreeMap, HashMap};
use std::path::Path;

/// How far apart two sockets' times of one thing may lie on a busy machine, in microseconds.
const SLACK: u64 = 200_000;
/// Grace of drains, in microseconds, and how late a gateway may read the list.
const GRACE: u64 = 2_000_000;

/// One rule that a run broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// 1 to 5.
    pub rule: u8,
    pub what: String,
}

/// What an audit found.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub calls: usize,
    pub ends: BTreeMap<CallOutcome, usize>,
    pub attempts: usize,
    pub effects: usize,
    pub breaches: Vec<Breach>,
}

/// All that a run left behind.
pub struct Record {
    pub day: Day,
    pub lines: Vec<Entry>,
}

impl Record {
    /// Reads a run's folder.
    pub fn read(dir: &Path) -> anyhow::Result<Record> {
        let day = script::read(&dir.join("day.txtpb"))?;
        let mut lines = Vec::new();
        for entry in std::fs::read_dir(dir)? {
            let path = entry?.path();
            if path.extension().is_some_and(|e| e == "jsonl") {
                lines.extend(event_log::read(&path)?);
            }
        }
        lines.sort_by_key(time);
        Ok(Record { day, lines })
    }
}

fn time(line: &Entry) -> u64 {
    match line {
        Entry::Call { t, .. }
        | Entry::Answer { t, .. }
        | Entry::Arrive { t, .. }
        | Entry::Start { t, .. }
        | Entry::Done { t, .. }
        | Entry::Reply { t, .. }
        | Entry::Cancel { t, .. }
        | Entry::Fell { t, .. }
        | Entry::Note { t, .. } => *t,
    }
}

struct Attempt {
    t: u64,
    server: String,
    unprocessed: bool,
}

#[derive(Default)]
struct Call {
    sent: u64,
    deadline: u64,
    gateway: usize,
    path: String,
    key: String,
    customer: String,
    units: f64,
    answers: Vec<(u64, CallOutcome)>,
    attempts: Vec<Attempt>,
}

/// Spans in which something did not hold, by gateway or for all.
struct Spans {
    gateway: Vec<(usize, u64, u64)>,
    /// A gateway had ended as it was asked to: what was sent before has its answer.
    ended_gateways: Vec<(usize, u64, u64)>,
    reconnects: Vec<u64>,
    ended: u64,
    /// Links were in trouble or servers stood still: what was sent before may get there later.
    held_up: Vec<(u64, u64)>,
    /// The same between clients and gateways.
    clients: Vec<(u64, u64)>,
}

impl Spans {
    fn of(lines: &[Entry]) -> Spans {
        let mut spans = Spans {
            gateway: Vec::new(),
            ended_gateways: Vec::new(),
            reconnects: Vec::new(),
            ended: u64::MAX,
            held_up: Vec::new(),
            clients: Vec::new(),
        };
        for line in lines {
            let Entry::Note { t, what, target } = line else {
                continue;
            };
            let gateway: usize = target.parse().unwrap_or(usize::MAX);
            match what.as_str() {
                "gateway_killed" | "gateway_stalled" => spans.gateway.push((gateway, *t, u64::MAX)),
                "gateway_ended" => spans.ended_gateways.push((gateway, *t, u64::MAX)),
                "gateway_started" | "gateway_resumed" => {
                    let open = spans
                        .gateway
                        .iter_mut()
                        .chain(&mut spans.ended_gateways)
                        .rev()
                        .find(|s| s.0 == gateway && s.2 == u64::MAX);
                    open.into_iter().for_each(|s| s.2 = *t);
                }
                "held_up" => spans.links(target).push((*t, u64::MAX)),
                "let_through" => {
                    let open = spans
                        .links(target)
                        .iter_mut()
                        .rev()
                        .find(|s| s.1 == u64::MAX);
                    open.into_iter().for_each(|s| s.1 = *t);
                }
                "clients_reconnect" => spans.reconnects.push(*t),
                "load_ended" => spans.ended = *t,
                _ => {}
            }
        }
        spans
    }
    /// The gateway was dead or stalled at some time of the span, or had ended as it was asked to when the span began.
    fn down(&self, gateway: usize, from: u64, to: u64) -> bool {
        let was_down = self
            .gateway
            .iter()
            .any(|s| s.0 == gateway && s.1 <= to + SLACK && s.2.saturating_add(SLACK) >= from);
        let had_ended = self
            .ended_gateways
            .iter()
            .any(|s| s.0 == gateway && s.1 <= from && from <= s.2);
        was_down || had_ended
    }
    /// The spans that a word to the relays belongs to.
    fn links(&mut self, word: &str) -> &mut Vec<(u64, u64)> {
        if script::is_for_client_links(word) {
            &mut self.clients
        } else {
            &mut self.held_up
        }
    }
    /// What a client sent or was to hear in that time may have been held up.
    fn client_links(&self, from: u64, to: u64) -> bool {
        self.clients
            .iter()
            .any(|s| s.0 <= to.saturating_add(SLACK) && s.1.saturating_add(SLACK) >= from)
    }
    /// What was sent by `from` may have arrived only at `to`.
    fn held_up(&self, from: u64, to: u64) -> bool {
        self.held_up
            .iter()
            .any(|s| s.0 <= to + SLACK && s.1.saturating_add(SLACK) >= from)
    }
    fn reconnected(&self, from: u64, to: u64) -> bool {
        self.reconnects
            .iter()
            .any(|t| from <= t + SLACK && *t <= to + SLACK)
    }
}

/// Audits a run.
pub fn audit(record: &Record) -> Verdict {
    let mut verdict = Verdict::default();
    let spans = Spans::of(&record.lines);
    let calls = gather(record, &mut verdict);
    let rules = Rules::of(&record.day);
    for (id, call) in &calls {
        answered_once(id, call, &spans, &mut verdict);
        no_effect_twice(id, call, &rules, &mut verdict);
    }
    effects_once(&record.lines, &rules, &mut verdict);
    drains_kept(&record.lines, &rules, &mut verdict);
    held_sites_kept(record, &mut verdict);
    ceilings_kept(&calls, &rules, &mut verdict);
    for line in &record.lines {
        if let Entry::Fell { t, server } = line {
            verdict.breach(4, format!("cold server {server} was pushed over at {t}"));
        }
    }
    verdict
}

impl Verdict {
    fn breach(&mut self, rule: u8, what: String) {
        self.breaches.push(Breach { rule, what });
    }
    /// Whether a rule was broken.
    pub fn broke(&self, rule: u8) -> bool {
        self.breaches.iter().any(|b| b.rule == rule)
    }
}

fn gather(record: &Record, verdict: &mut Verdict) -> BTreeMap<String, Call> {
    let mut calls: BTreeMap<String, Call> = BTreeMap::new();
    for line in &record.lines {
        match line {
            Entry::Call {
                t,
                id,
                customer,
                path,
                key,
                units,
                deadline,
                gateway,
            } => {
                let call = calls.entry(id.clone()).or_default();
                (call.sent, call.deadline, call.gateway, call.units) =
                    (*t, *deadline, *gateway, *units);
                (call.path, call.key, call.customer) =
                    (path.clone(), key.clone(), customer.clone());
                verdict.calls += 1;
            }
            Entry::Answer { t, id, end, .. } => {
                calls
                    .entry(id.clone())
                    .or_default()
                    .answers
                    .push((*t, *end));
                *verdict.ends.entry(*end).or_default() += 1;
            }
            Entry::Arrive { t, server, id, .. } => {
                let attempt = Attempt {
                    t: *t,
                    server: server.clone(),
                    unprocessed: false,
                };
                calls.entry(id.clone()).or_default().attempts.push(attempt);
                verdict.attempts += 1;
            }
            Entry::Reply {
                server,
                id,
                unprocessed: true,
                ..
            } => {
                let call = calls.entry(id.clone()).or_default();
                let of = call
                    .attempts
                    .iter_mut()
                    .rev()
                    .find(|a| a.server == *server && !a.unprocessed);
                of.into_iter().for_each(|a| a.unprocessed = true);
            }
            Entry::Done { effect: true, .. } => verdict.effects += 1,
            _ => {}
        }
    }
    calls
}

fn answered_once(id: &str, call: &Call, spans: &Spans, verdict: &mut Verdict) {
    let Some(&(at, end)) = call.answers.first() else {
        let cut_off = spans.client_links(call.sent, u64::MAX - SLACK);
        if !spans.down(call.gateway, call.sent, u64::MAX - SLACK) && !cut_off {
            verdict.breach(1, format!("call {id} has no answer"));
        }
        return;
    };
    if call.answers.len() > 1 {
        verdict.breach(1, format!("call {id} has {} answers", call.answers.len()));
    }
    let down = spans.down(call.gateway, call.sent, at) || spans.client_links(call.sent, at);
    match end {
        CallOutcome::Silent if !down => {
            verdict.breach(1, format!("call {id} had no answer in time"))
        }
        CallOutcome::Lost if !down && !spans.reconnected(call.sent, at) => {
            verdict.breach(1, format!("call {id} was cut off by a gateway that ran"));
        }
        _ if at > call.deadline.saturating_add(SLACK) && !down && end != CallOutcome::Silent => {
            verdict.breach(
                1,
                format!(
                    "call {id} was answered {} us after its deadline",
                    at - call.deadline
                ),
            );
        }
        _ => {}
    }
    let late = call
        .attempts
        .iter()
        .find(|a| a.t > at + SLACK && !down && !spans.held_up(at, a.t));
    if let Some(a) = late {
        verdict.breach(
            1,
            format!(
                "call {id} was sent to {} {} us after its answer",
                a.server,
                a.t - at
            ),
        );
    }
}

/// What the day's settings say of classes, plans, cells and lists.
struct Rules {
    class_of: HashMap<String, Class>,
    plans: HashMap<String, Plan>,
    plan_of: HashMap<String, String>,
    told_late: u64,
    /// Cell of each server, learnt from which log it wrote into.
    zone_count: usize,
}

impl Rules {
    fn of(day: &Day) -> Rules {
        let gateway = day.gateway.clone().unwrap_or_default();
        let class = |name: &str| gateway.classes.iter().find(|c| c.name == name).cloned();
        let class_of = gateway
            .routes
            .iter()
            .filter_map(|r| Some((r.path.clone(), class(&r.class)?)))
            .collect();
        let plans = gateway
            .plans
            .iter()
            .map(|p| (p.name.clone(), p.clone()))
            .collect();
        let mut plan_of = HashMap::new();
        for group in day.load.iter().flat_map(|l| &l.customers) {
            for i in 0..group.count {
                plan_of.insert(format!("{}-{i}", group.plan), group.plan.clone());
            }
        }
        let poll = gateway.endpoints.map_or(0, |e| e.poll_ms);
        let told_late = u64::from(if poll == 0 { 200 } else { poll }) * 1_000;
        Rules {
            class_of,
            plans,
            plan_of,
            told_late,
            zone_count: day.zones.len(),
        }
    }
}

fn no_effect_twice(id: &str, call: &Call, rules: &Rules, verdict: &mut Verdict) {
    let Some(class) = rules.class_of.get(&call.path) else {
        return;
    };
    if class.effect() == class::Effect::Safe {
        return;
    }
    let keyed = class.effect() == class::Effect::Keyed && !call.key.is_empty();
    let ran: Vec<&Attempt> = call.attempts.iter().filter(|a| !a.unprocessed).collect();
    let window = u64::from(class.window_ms) * 1_000;
    for (i, attempt) in call.attempts.iter().enumerate().skip(1) {
        let Some(first) = call.attempts[..i].iter().find(|a| !a.unprocessed) else {
            continue;
        };
        if !keyed {
            verdict.breach(
                2,
                format!("unsafe call {id} was sent again after it may have run"),
            );
        } else if attempt.t > first.t + window + SLACK {
            verdict.breach(
                2,
                format!("keyed call {id} was sent again after its window"),
            );
        }
    }
    let everywhere = keyed && (class.group() == class::Group::All || rules.zone_count == 1);
    let refused = call
        .answers
        .first()
        .is_some_and(|a| a.1 == CallOutcome::Refused);
    if refused && !ran.is_empty() && !everywhere {
        verdict.breach(2, format!("call {id} was refused though it may have run"));
    }
}

/// Each key has its effect once, whichever cells saw it.
fn effects_once(lines: &[Entry], rules: &Rules, verdict: &mut Verdict) {
    let mut path_of: HashMap<&str, &str> = HashMap::new();
    let mut effects: HashMap<&str, usize> = HashMap::new();
    for line in lines {
        match line {
            Entry::Call { id, path, .. } => drop(path_of.insert(id, path)),
            Entry::Done {
                id,
                key,
                effect: true,
                ..
            } => {
                *effects
                    .entry(if key.is_empty() { id } else { key })
                    .or_default() += 1;
                let class = path_of
                    .get(id.as_str())
                    .and_then(|p| rules.class_of.get(*p));
                if class.is_none_or(|c| c.effect() == class::Effect::Safe) {
                    effects.remove(if key.is_empty() {
                        id.as_str()
                    } else {
                        key.as_str()
                    });
                }
            }
            _ => {}
        }
    }
    for (key, count) in effects.into_iter().filter(|e| e.1 > 1) {
        verdict.breach(2, format!("{key} had its effect {count} times"));
    }
}

fn drains_kept(lines: &[Entry], rules: &Rules, verdict: &mut Verdict) {
    let mut unlisted: HashMap<&str, u64> = HashMap::new();
    for line in lines {
        match line {
            Entry::Note { t, what, target } if what == "unlisted" => {
                unlisted.entry(target).or_insert(*t);
            }
            Entry::Note { what, target, .. } if what == "listed" => {
                unlisted.remove(target.as_str());
            }
            Entry::Arrive { t, server, id, .. } => {
                let Some(since) = unlisted.get(server.as_str()) else {
                    continue;
                };
                if *t > since + rules.told_late + GRACE + SLACK {
                    let late = t - since;
                    verdict.breach(
                        3,
                        format!("call {id} reached {server} {late} us after it was off the list"),
                    );
                }
            }
            _ => {}
        }
    }
}

/// What an operator keeps out gets nothing new once the grace is over: a drain of a whole site.
fn held_sites_kept(record: &Record, verdict: &mut Verdict) {
    let mut zone_of: HashMap<&str, &str> = HashMap::new();
    let mut held: HashMap<&str, u64> = HashMap::new();
    for line in &record.lines {
        match line {
            Entry::Note { what, target, .. } if what == "server" => {
                let Some((server, zone)) = target.split_once(' ') else {
                    continue;
                };
                let zone = zone
                    .parse()
                    .ok()
                    .and_then(|z: usize| record.day.zones.get(z));
                zone.into_iter().for_each(|z| {
                    zone_of.insert(server, &z.name);
                });
            }
            Entry::Note { t, what, target } if what == "site_held" => drop(held.insert(target, *t)),
            Entry::Note { what, target, .. } if what == "site_let_back" => {
                held.remove(target.as_str());
            }
            Entry::Arrive { t, server, id, .. } => {
                let Some(zone) = zone_of.get(server.as_str()) else {
                    continue;
                };
                let Some(since) = held.get(zone).filter(|since| *t > **since + GRACE + SLACK)
                else {
                    continue;
                };
                let late = t - since;
                verdict.breach(
                    3,
                    format!("call {id} reached {server} {late} us after {zone} was held out"),
                );
            }
            _ => {}
        }
    }
}

fn ceilings_kept(calls: &BTreeMap<String, Call>, rules: &Rules, verdict: &mut Verdict) {
    let mut firsts: BTreeMap<&str, Vec<(u64, f64)>> = BTreeMap::new();
    for call in calls.values() {
        if let Some(first) = call.attempts.first() {
            firsts
                .entry(&call.customer)
                .or_default()
                .push((first.t, call.units));
        }
    }
    for (customer, mut sends) in firsts {
        let plan = rules.plan_of.get(customer).and_then(|p| rules.plans.get(p));
        let Some(plan) = plan.filter(|p| p.ceiling_rate > 0.0) else {
            continue;
        };
        sends.sort_by_key(|s| s.0);
        let (mut level, mut at) = (plan.ceiling_burst, sends[0].0);
        for (t, units) in sends {
            level =
                (level + (t - at) as f64 / 1e6 * plan.ceiling_rate).min(plan.ceiling_burst) - units;
            at = t;
            if level < -plan.ceiling_slack - 1e-9 {
                verdict.breach(
                    5,
                    format!("{customer} was {:.1} units over its ceiling at {t}", -level),
                );
                break;
            }
        }
    }
}

//! Checks the five safety rules of a run against the event logs of its clients and servers and the actions of the run
//! itself. It never relies on what a gateway reports about itself.
//!
//! 1. Each call ends once for its client, by its deadline, and no attempt is sent after that.
//! 2. A call takes effect at most once, and is refused only if no server can have run it.
//! 3. Servers that are drained, and sites that an operator holds out, get no calls after the grace period.
//! 4. No server collapses under overload while it warms up.
//! 5. No customer exceeds the ceiling of its plan.

use crate::common::event_log::{self, CallOutcome, Entry};
use crate::common::script;
use chalkdeck_proto::chalkdeck::config::v1::{class, Class, Plan};
use chalkdeck_proto::chalkdeck::lab::v1::Day;
use std::collections::{BTreeMap, HashMap};
use std::path::Path;

/// How far the timestamps of two processes for the same event may differ on a busy machine.
const TIMESTAMP_SLACK_US: u64 = 200_000;
/// Grace period of a drain; it covers a gateway that reads the endpoint list late.
const DRAIN_GRACE_US: u64 = 2_000_000;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// The rule's number, from 1 to 5.
    pub rule: u8,
    pub description: String,
}

/// The result of an audit.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub calls: usize,
    /// Calls by the way they ended for the client.
    pub outcomes: BTreeMap<CallOutcome, usize>,
    pub attempts: usize,
    pub effects: usize,
    pub breaches: Vec<Breach>,
}

/// What a run recorded: its day and the events of all its logs, ordered by time.
pub struct Record {
    pub day: Day,
    pub events: Vec<Entry>,
}

impl Record {
    /// Reads the folder of a run.
    pub fn read(dir: &Path) -> anyhow::Result<Record> {
        let day = script::read(&dir.join("day.txtpb"))?;
        let mut events = Vec::new();
        for entry in std::fs::read_dir(dir)? {
            let path = entry?.path();
            if path.extension().is_some_and(|e| e == "jsonl") {
                events.extend(event_log::read(&path)?);
            }
        }
        events.sort_by_key(time_us);
        Ok(Record { day, events })
    }
}

fn time_us(event: &Entry) -> u64 {
    match event {
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

/// An attempt of a call, as the server that it reached recorded it. Times here and below are in microseconds.
struct Attempt {
    arrived_at: u64,
    server: String,
    is_unprocessed: bool,
}

/// A call with all that clients and servers recorded about it.
#[derive(Default)]
struct Call {
    sent_at: u64,
    deadline: u64,
    gateway: usize,
    path: String,
    key: String,
    customer: String,
    units: f64,
    /// The ends that its client recorded, with their times. There should be exactly one.
    outcomes: Vec<(u64, CallOutcome)>,
    attempts: Vec<Attempt>,
}

/// Periods of a run in which some rules are relaxed, each with its start and end, and with its gateway where there is one.
/// The end of a period that outlasts the run is `u64::MAX`.
struct Disruptions {
    /// Gateways that were killed or stopped by SIGSTOP.
    gateway_outages: Vec<(usize, u64, u64)>,
    /// Gateways that shut down on request. Calls sent before the shutdown must still get their responses.
    gateway_shutdowns: Vec<(usize, u64, u64)>,
    reconnects: Vec<u64>,
    load_ended_at: u64,
    /// Faults on links to servers, and stopped servers: messages sent before may arrive later.
    server_link_faults: Vec<(u64, u64)>,
    /// Faults on the links between clients and gateways.
    client_link_faults: Vec<(u64, u64)>,
}

impl Disruptions {
    fn from_events(events: &[Entry]) -> Disruptions {
        let mut disruptions = Disruptions {
            gateway_outages: Vec::new(),
            gateway_shutdowns: Vec::new(),
            reconnects: Vec::new(),
            load_ended_at: u64::MAX,
            server_link_faults: Vec::new(),
            client_link_faults: Vec::new(),
        };
        for event in events {
            let Entry::Note { t, what, target } = event else {
                continue;
            };
            let gateway: usize = target.parse().unwrap_or(usize::MAX);
            match what.as_str() {
                "gateway_killed" | "gateway_stalled" => {
                    disruptions.gateway_outages.push((gateway, *t, u64::MAX))
                }
                "gateway_ended" => disruptions.gateway_shutdowns.push((gateway, *t, u64::MAX)),
                "gateway_started" | "gateway_resumed" => {
                    let unfinished = disruptions
                        .gateway_outages
                        .iter_mut()
                        .chain(&mut disruptions.gateway_shutdowns)
                        .rev()
                        .find(|s| s.0 == gateway && s.2 == u64::MAX);
                    unfinished.into_iter().for_each(|s| s.2 = *t);
                }
                "held_up" => disruptions.link_faults_mut(target).push((*t, u64::MAX)),
                "let_through" => {
                    let unfinished = disruptions
                        .link_faults_mut(target)
                        .iter_mut()
                        .rev()
                        .find(|s| s.1 == u64::MAX);
                    unfinished.into_iter().for_each(|s| s.1 = *t);
                }
                "clients_reconnect" => disruptions.reconnects.push(*t),
                "load_ended" => disruptions.load_ended_at = *t,
                _ => {}
            }
        }
        disruptions
    }
    /// Whether the gateway was killed or stopped at any time of the period, or had shut down before the period began.
    fn is_gateway_down(&self, gateway: usize, from: u64, to: u64) -> bool {
        let had_outage = self.gateway_outages.iter().any(|s| {
            s.0 == gateway
                && s.1 <= to + TIMESTAMP_SLACK_US
                && s.2.saturating_add(TIMESTAMP_SLACK_US) >= from
        });
        let was_shut_down = self
            .gateway_shutdowns
            .iter()
            .any(|s| s.0 == gateway && s.1 <= from && from <= s.2);
        had_outage || was_shut_down
    }
    /// The faults that a relay command belongs to.
    fn link_faults_mut(&mut self, command: &str) -> &mut Vec<(u64, u64)> {
        if script::is_for_client_links(command) {
            &mut self.client_link_faults
        } else {
            &mut self.server_link_faults
        }
    }
    /// Whether requests or responses of clients may have been delayed in the period.
    fn has_client_link_fault(&self, from: u64, to: u64) -> bool {
        self.client_link_faults.iter().any(|s| {
            s.0 <= to.saturating_add(TIMESTAMP_SLACK_US)
                && s.1.saturating_add(TIMESTAMP_SLACK_US) >= from
        })
    }
    /// Whether a message that was sent by `from` may have arrived as late as `to`.
    fn is_delivery_delayed(&self, from: u64, to: u64) -> bool {
        self.server_link_faults.iter().any(|s| {
            s.0 <= to + TIMESTAMP_SLACK_US && s.1.saturating_add(TIMESTAMP_SLACK_US) >= from
        })
    }
    fn has_reconnect(&self, from: u64, to: u64) -> bool {
        self.reconnects
            .iter()
            .any(|t| from <= t + TIMESTAMP_SLACK_US && *t <= to + TIMESTAMP_SLACK_US)
    }
}

/// Checks all rules.
pub fn audit(record: &Record) -> Verdict {
    let mut verdict = Verdict::default();
    let disruptions = Disruptions::from_events(&record.events);
    let calls = collect_calls(record, &mut verdict);
    let settings = DaySettings::from_day(&record.day);
    for (id, call) in &calls {
        check_single_outcome(id, call, &disruptions, &mut verdict);
        check_resends(id, call, &settings, &mut verdict);
    }
    check_single_effect(&record.events, &settings, &mut verdict);
    check_drains(&record.events, &settings, &mut verdict);
    check_held_out_sites(record, &mut verdict);
    check_ceilings(&calls, &settings, &mut verdict);
    for event in &record.events {
        if let Entry::Fell { t, server } = event {
            verdict.add_breach(4, format!("cold server {server} was pushed over at {t}"));
        }
    }
    verdict
}

impl Verdict {
    fn add_breach(&mut self, rule: u8, description: String) {
        self.breaches.push(Breach { rule, description });
    }
    /// Whether the run violated this rule.
    pub fn has_breach_of(&self, rule: u8) -> bool {
        self.breaches.iter().any(|b| b.rule == rule)
    }
}

fn collect_calls(record: &Record, verdict: &mut Verdict) -> BTreeMap<String, Call> {
    let mut calls: BTreeMap<String, Call> = BTreeMap::new();
    for event in &record.events {
        match event {
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
                (call.sent_at, call.deadline, call.gateway, call.units) =
                    (*t, *deadline, *gateway, *units);
                (call.path, call.key, call.customer) =
                    (path.clone(), key.clone(), customer.clone());
                verdict.calls += 1;
            }
            Entry::Answer { t, id, end, .. } => {
                calls
                    .entry(id.clone())
                    .or_default()
                    .outcomes
                    .push((*t, *end));
                *verdict.outcomes.entry(*end).or_default() += 1;
            }
            Entry::Arrive { t, server, id, .. } => {
                let attempt = Attempt {
                    arrived_at: *t,
                    server: server.clone(),
                    is_unprocessed: false,
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
                let attempt = call
                    .attempts
                    .iter_mut()
                    .rev()
                    .find(|a| a.server == *server && !a.is_unprocessed);
                attempt.into_iter().for_each(|a| a.is_unprocessed = true);
            }
            Entry::Done { effect: true, .. } => verdict.effects += 1,
            _ => {}
        }
    }
    calls
}

fn check_single_outcome(id: &str, call: &Call, disruptions: &Disruptions, verdict: &mut Verdict) {
    let Some(&(ended_at, outcome)) = call.outcomes.first() else {
        let is_cut_off =
            disruptions.has_client_link_fault(call.sent_at, u64::MAX - TIMESTAMP_SLACK_US);
        if !disruptions.is_gateway_down(call.gateway, call.sent_at, u64::MAX - TIMESTAMP_SLACK_US)
            && !is_cut_off
        {
            verdict.add_breach(1, format!("call {id} has no answer"));
        }
        return;
    };
    if call.outcomes.len() > 1 {
        verdict.add_breach(1, format!("call {id} has {} answers", call.outcomes.len()));
    }
    let is_disrupted = disruptions.is_gateway_down(call.gateway, call.sent_at, ended_at)
        || disruptions.has_client_link_fault(call.sent_at, ended_at);
    match outcome {
        CallOutcome::Silent if !is_disrupted => {
            verdict.add_breach(1, format!("call {id} had no answer in time"))
        }
        CallOutcome::Lost
            if !is_disrupted && !disruptions.has_reconnect(call.sent_at, ended_at) =>
        {
            verdict.add_breach(1, format!("call {id} was cut off by a gateway that ran"));
        }
        _ if ended_at > call.deadline.saturating_add(TIMESTAMP_SLACK_US)
            && !is_disrupted
            && outcome != CallOutcome::Silent =>
        {
            verdict.add_breach(
                1,
                format!(
                    "call {id} was answered {} us after its deadline",
                    ended_at - call.deadline
                ),
            );
        }
        _ => {}
    }
    let sent_late = call.attempts.iter().find(|a| {
        a.arrived_at > ended_at + TIMESTAMP_SLACK_US
            && !is_disrupted
            && !disruptions.is_delivery_delayed(ended_at, a.arrived_at)
    });
    if let Some(a) = sent_late {
        verdict.add_breach(
            1,
            format!(
                "call {id} was sent to {} {} us after its answer",
                a.server,
                a.arrived_at - ended_at
            ),
        );
    }
}

/// The settings of the day that the rules depend on.
struct DaySettings {
    class_by_path: HashMap<String, Class>,
    plans: HashMap<String, Plan>,
    plan_by_customer: HashMap<String, String>,
    /// How long it takes a gateway to see a change of the endpoint list.
    list_delay_us: u64,
    /// Number of zones; each has one cell of servers.
    zone_count: usize,
}

impl DaySettings {
    fn from_day(day: &Day) -> DaySettings {
        let gateway = day.gateway.clone().unwrap_or_default();
        let class = |name: &str| gateway.classes.iter().find(|c| c.name == name).cloned();
        let class_by_path = gateway
            .routes
            .iter()
            .filter_map(|r| Some((r.path.clone(), class(&r.class)?)))
            .collect();
        let plans = gateway
            .plans
            .iter()
            .map(|p| (p.name.clone(), p.clone()))
            .collect();
        let mut plan_by_customer = HashMap::new();
        for group in day.load.iter().flat_map(|l| &l.customers) {
            for i in 0..group.count {
                plan_by_customer.insert(format!("{}-{i}", group.plan), group.plan.clone());
            }
        }
        let poll = gateway.endpoints.map_or(0, |e| e.poll_ms);
        let list_delay_us = u64::from(if poll == 0 { 200 } else { poll }) * 1_000;
        DaySettings {
            class_by_path,
            plans,
            plan_by_customer,
            list_delay_us,
            zone_count: day.zones.len(),
        }
    }
}

fn check_resends(id: &str, call: &Call, settings: &DaySettings, verdict: &mut Verdict) {
    let Some(class) = settings.class_by_path.get(&call.path) else {
        return;
    };
    if class.effect() == class::Effect::Safe {
        return;
    }
    let is_keyed = class.effect() == class::Effect::Keyed && !call.key.is_empty();
    let may_have_run: Vec<&Attempt> = call.attempts.iter().filter(|a| !a.is_unprocessed).collect();
    let window_us = u64::from(class.window_ms) * 1_000;
    for (i, attempt) in call.attempts.iter().enumerate().skip(1) {
        let Some(first) = call.attempts[..i].iter().find(|a| !a.is_unprocessed) else {
            continue;
        };
        if !is_keyed {
            verdict.add_breach(
                2,
                format!("unsafe call {id} was sent again after it may have run"),
            );
        } else if attempt.arrived_at > first.arrived_at + window_us + TIMESTAMP_SLACK_US {
            verdict.add_breach(
                2,
                format!("keyed call {id} was sent again after its window"),
            );
        }
    }
    let holds_in_all_cells =
        is_keyed && (class.group() == class::Group::All || settings.zone_count == 1);
    let is_refused = call
        .outcomes
        .first()
        .is_some_and(|a| a.1 == CallOutcome::Refused);
    if is_refused && !may_have_run.is_empty() && !holds_in_all_cells {
        verdict.add_breach(2, format!("call {id} was refused though it may have run"));
    }
}

/// Each key takes effect at most once over all cells.
fn check_single_effect(events: &[Entry], settings: &DaySettings, verdict: &mut Verdict) {
    let mut path_by_id: HashMap<&str, &str> = HashMap::new();
    let mut effects: HashMap<&str, usize> = HashMap::new();
    for event in events {
        match event {
            Entry::Call { id, path, .. } => drop(path_by_id.insert(id, path)),
            Entry::Done {
                id,
                key,
                effect: true,
                ..
            } => {
                *effects
                    .entry(if key.is_empty() { id } else { key })
                    .or_default() += 1;
                let class = path_by_id
                    .get(id.as_str())
                    .and_then(|p| settings.class_by_path.get(*p));
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
        verdict.add_breach(2, format!("{key} had its effect {count} times"));
    }
}

fn check_drains(events: &[Entry], settings: &DaySettings, verdict: &mut Verdict) {
    let mut unlisted_since: HashMap<&str, u64> = HashMap::new();
    for event in events {
        match event {
            Entry::Note { t, what, target } if what == "unlisted" => {
                unlisted_since.entry(target).or_insert(*t);
            }
            Entry::Note { what, target, .. } if what == "listed" => {
                unlisted_since.remove(target.as_str());
            }
            Entry::Arrive { t, server, id, .. } => {
                let Some(since) = unlisted_since.get(server.as_str()) else {
                    continue;
                };
                if *t > since + settings.list_delay_us + DRAIN_GRACE_US + TIMESTAMP_SLACK_US {
                    let late_us = t - since;
                    verdict.add_breach(
                        3,
                        format!(
                            "call {id} reached {server} {late_us} us after it was off the list"
                        ),
                    );
                }
            }
            _ => {}
        }
    }
}

/// A site that an operator holds out gets no new calls after the grace period.
fn check_held_out_sites(record: &Record, verdict: &mut Verdict) {
    let mut zone_by_server: HashMap<&str, &str> = HashMap::new();
    let mut held: HashMap<&str, u64> = HashMap::new();
    for event in &record.events {
        match event {
            Entry::Note { what, target, .. } if what == "server" => {
                let Some((server, zone)) = target.split_once(' ') else {
                    continue;
                };
                let zone = zone
                    .parse()
                    .ok()
                    .and_then(|z: usize| record.day.zones.get(z));
                zone.into_iter().for_each(|z| {
                    zone_by_server.insert(server, &z.name);
                });
            }
            Entry::Note { t, what, target } if what == "site_held" => drop(held.insert(target, *t)),
            Entry::Note { what, target, .. } if what == "site_let_back" => {
                held.remove(target.as_str());
            }
            Entry::Arrive { t, server, id, .. } => {
                let Some(zone) = zone_by_server.get(server.as_str()) else {
                    continue;
                };
                let Some(since) = held
                    .get(zone)
                    .filter(|since| *t > **since + DRAIN_GRACE_US + TIMESTAMP_SLACK_US)
                else {
                    continue;
                };
                let late_us = t - since;
                verdict.add_breach(
                    3,
                    format!("call {id} reached {server} {late_us} us after {zone} was held out"),
                );
            }
            _ => {}
        }
    }
}

fn check_ceilings(calls: &BTreeMap<String, Call>, settings: &DaySettings, verdict: &mut Verdict) {
    let mut first_sends: BTreeMap<&str, Vec<(u64, f64)>> = BTreeMap::new();
    for call in calls.values() {
        if let Some(first) = call.attempts.first() {
            first_sends
                .entry(&call.customer)
                .or_default()
                .push((first.arrived_at, call.units));
        }
    }
    for (customer, mut sends) in first_sends {
        let plan = settings
            .plan_by_customer
            .get(customer)
            .and_then(|p| settings.plans.get(p));
        let Some(plan) = plan.filter(|p| p.ceiling_rate > 0.0) else {
            continue;
        };
        sends.sort_by_key(|s| s.0);
        let (mut tokens, mut updated_at) = (plan.ceiling_burst, sends[0].0);
        for (t, units) in sends {
            tokens = (tokens + (t - updated_at) as f64 / 1e6 * plan.ceiling_rate)
                .min(plan.ceiling_burst)
                - units;
            updated_at = t;
            if tokens < -plan.ceiling_slack - 1e-9 {
                verdict.add_breach(
                    5,
                    format!(
                        "{customer} was {:.1} units over its ceiling at {t}",
                        -tokens
                    ),
                );
                break;
            }
        }
    }
}

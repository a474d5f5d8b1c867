//! The text protocol of the drill, to and from the types of `api.rs`. Nothing here decides.

use chalkdeck::api::*;
use chalkdeck::rules::Gateway;
use std::collections::{BTreeMap, HashMap};
use std::fmt::{Display, Write};
use std::str::FromStr;

/// What was wrong with a line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireError(pub String);

impl Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}
impl std::error::Error for WireError {}

type Result<T> = std::result::Result<T, WireError>;

/// The name=value parts of one line.
struct Fields<'a> {
    at: u64,
    message: &'a str,
    pairs: HashMap<&'a str, &'a str>,
}

impl<'a> Fields<'a> {
    fn parse(at: u64, line: &'a str) -> Result<Fields<'a>> {
        let mut parts = line.split(' ');
        let message = parts.next().unwrap_or("");
        let mut pairs = HashMap::new();
        for part in parts {
            let Some((name, value)) = part.split_once('=') else {
                return Err(WireError(format!("line {at}: {message}: expected name=value, found '{part}'")));
            };
            pairs.insert(name, value);
        }
        Ok(Fields { at, message, pairs })
    }
    fn fail<T>(&self, name: &str, wanted: &str) -> Result<T> {
        let found = self.pairs.get(name).map_or("nothing".to_string(), |v| format!("'{v}'"));
        let Fields { at, message, .. } = self;
        Err(WireError(format!("line {at}: {message}: {name}: expected {wanted}, found {found}")))
    }
    fn read<T: FromStr>(&self, name: &str, wanted: &str) -> Result<Option<T>> {
        match self.pairs.get(name) {
            None => Ok(None),
            Some(text) => text.parse().map(Some).or_else(|_| self.fail(name, wanted)),
        }
    }
    fn whole(&self, name: &str) -> Result<u64> {
        self.read(name, "a whole number")?.map_or_else(|| self.fail(name, "a whole number"), Ok)
    }
    fn whole_or(&self, name: &str, default: u64) -> Result<u64> {
        Ok(self.read(name, "a whole number")?.unwrap_or(default))
    }
    fn small(&self, name: &str) -> Result<u32> {
        self.read(name, "a small whole number")?.map_or_else(|| self.fail(name, "a small whole number"), Ok)
    }
    fn real_or(&self, name: &str, default: f64) -> Result<f64> {
        match self.read::<f64>(name, "a number")? {
            Some(v) if !v.is_finite() => self.fail(name, "a finite number"),
            v => Ok(v.unwrap_or(default)),
        }
    }
    fn micros_or(&self, name: &str, default: u64) -> Result<Micros> {
        self.whole_or(name, default).map(Micros)
    }
    fn flag_or(&self, name: &str, default: bool) -> Result<bool> {
        match self.pairs.get(name) {
            None => Ok(default),
            Some(&"1") | Some(&"true") => Ok(true),
            Some(&"0") | Some(&"false") => Ok(false),
            Some(_) => self.fail(name, "1 or 0"),
        }
    }
    fn text(&self, name: &str) -> Result<&'a str> {
        self.pairs.get(name).copied().map_or_else(|| self.fail(name, "a text"), Ok)
    }
    fn outcome(&self) -> Result<Outcome> {
        Ok(match self.text("how")? {
            "200" => Outcome::Ok,
            "500" => Outcome::Error,
            "503" => Outcome::Full,
            "504" => Outcome::Timeout,
            "502" => Outcome::ConnectFailed,
            "598" => Outcome::Reset,
            "499" => Outcome::Cancelled,
            "410" => Outcome::Moot,
            _ => return self.fail("how", "one of 200 410 499 500 502 503 504 598"),
        })
    }
    fn report(&self) -> Result<Report> {
        let mut report = Report::default();
        for pair in self.pairs.get("report").into_iter().flat_map(|r| r.split(',')) {
            let value = pair.split_once(':').and_then(|(k, v)| Some((k, v.parse::<f64>().ok()?)));
            match value {
                Some(("concurrent", v)) => report.inflight = Some(v),
                Some(("depth", v)) => report.queue = Some(v),
                Some(("load_share", v)) => report.busy = Some(v),
                Some(_) => {}
                None if pair.is_empty() => {}
                None => return self.fail("report", "name:number pairs"),
            }
        }
        Ok(report)
    }
}

/// One gateway with the names by which the wire knows what it is told of.
struct Instance {
    gateway: Gateway,
    classes: HashMap<String, usize>,
    plans: HashMap<String, usize>,
    zones: HashMap<String, u32>,
    addresses: HashMap<ServerId, String>,
    class_list: Vec<Class>,
}

impl Instance {
    fn start(f: &Fields) -> Result<Instance> {
        let seed = f.whole("rng_seed")?;
        let list = |prefix: &str| -> Result<usize> {
            let count = f.whole_or(&format!("{prefix}.count"), 0)?;
            if count > 10_000 {
                return f.fail(&format!("{prefix}.count"), "at most 10000");
            }
            Ok(count as usize)
        };
        let (mut classes, mut class_list) = (HashMap::new(), Vec::new());
        for i in 0..list("classes")? {
            let key = |k: &str| format!("classes.{i}.{k}");
            classes.insert(f.text(&key("name"))?.to_string(), i);
            let deadline = Micros(f.whole(&key("deadline"))?);
            class_list.push(Class {
                aim: f.micros_or(&key("on_time"), deadline.0)?,
                deadline,
                worth: f.real_or(&key("credit"), 1.0)?,
                late_worth: f.real_or(&key("late_share"), 0.0)?,
                effect: match f.pairs.get(key("effect").as_str()) {
                    Some(&"pure") => Effect::Safe,
                    Some(&"token") => Effect::Keyed,
                    Some(&"side_effect") | None => Effect::Unsafe,
                    Some(_) => return f.fail(&key("effect"), "pure, token or side_effect"),
                },
                group: match f.pairs.get(key("key_scope").as_str()) {
                    Some(&"all") => Group::All,
                    Some(&"zone") => Group::Zone,
                    Some(&"cell") | None => Group::Cell,
                    Some(_) => return f.fail(&key("key_scope"), "all, zone or cell"),
                },
                window: f.micros_or(&key("window"), 0)?,
                stream: f.flag_or(&key("streaming"), false)?,
                by_caller: false,
            });
        }
        let (mut plans, mut plan_list) = (HashMap::new(), Vec::new());
        for i in 0..list("plans")? {
            let key = |k: &str| format!("plans.{i}.{k}");
            let real = |k: &str, default| f.real_or(&key(k), default);
            plans.insert(f.text(&key("name"))?.to_string(), i);
            plan_list.push(Plan {
                rate: real("per_second", 0.0)?,
                burst: real("peak_units", 0.0)?,
                open: real("open", 0.0)?,
                price: real("price", 1.0)?,
                over_worth: real("extra_worth", 0.0)?,
                over_cost: real("excess_cost", 0.0)?,
                ceiling_rate: real("ceiling_rate", 0.0)?,
                ceiling_burst: real("cap_depth", 0.0)?,
                ceiling_slack: real("tolerance", 0.0)?,
            });
        }
        let mut zones = HashMap::new();
        for name in f.pairs.get("zones").into_iter().flat_map(|z| z.split(',')) {
            let next = zones.len() as u32;
            zones.entry(name.to_string()).or_insert(next);
        }
        let zone = zone_id(&mut zones, f.pairs.get("zone").copied().unwrap_or(""));
        let settings = Settings {
            gateways: f.whole_or("balancers", 1)?.min(u32::MAX.into()) as u32,
            me: f.whole_or("my_number", 0)?.min(u32::MAX.into()) as u32,
            zone,
            classes: class_list.clone(),
            plans: plan_list,
            max_attempts: f.whole_or("bounds.max_attempts", 1)? as usize,
            second_copies: f.flag_or("bounds.second_copies", false)?,
            may_cancel: f.flag_or("bounds.may_cancel", false)?,
            probes: f.flag_or("bounds.probing", false)?,
            retry_after: f.flag_or("bounds.retry_after", false)?,
            max_retry_after: f.micros_or("bounds.max_retry_after", 0)?,
            counter: f.flag_or("specifics.counter", false)?,
            count_timeout: f.micros_or("specifics.count_limit", 0)?,
            most_units: f.real_or("specifics.units_top", 1.0)?,
            must_subscribe: f.pairs.get("membership_mode") == Some(&"subscribe"),
            answer_slack: f.micros_or("rules.answer_slack", 0)?,
            cold_from: f.real_or("rules.cold_from", 1.0)?,
            cold: f.micros_or("rules.cold", 0)?,
            fall_multiple: f.real_or("rules.fall_multiple", 1.0)?,
            tip_after: f.micros_or("rules.tip_after", 0)?,
            tick: f.micros_or("tick", 0)?,
        };
        let gateway = Gateway::new(seed, settings)
            .map_err(|e| WireError(format!("line {}: START: settings: {e}", f.at)))?;
        let addresses = HashMap::new();
        Ok(Instance { gateway, classes, plans, zones, addresses, class_list })
    }
    fn server(&mut self, address: &str) -> ServerId {
        // The FNV-1a hash: the same number at every gateway; the next free one on a clash.
        let hash = address
            .bytes()
            .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3));
        let mut id = ServerId(hash);
        while self.addresses.get(&id).is_some_and(|known| known != address) {
            id = ServerId(id.0.wrapping_add(1));
        }
        self.addresses.entry(id).or_insert_with(|| address.to_string());
        id
    }
    fn entry(&mut self, f: &Fields) -> Result<ServerEntry> {
        Ok(ServerEntry {
            server: self.server(f.text("backend")?),
            zone: zone_id(&mut self.zones, f.pairs.get("rack_zone").copied().unwrap_or("")),
            cell: CellId(f.whole_or("pod", 0)?),
            listed: match f.text("status")? {
                "in_service" => Listed::InService,
                "terminating" => Listed::Draining,
                "terminated" => Listed::Gone,
                _ => return f.fail("status", "in_service, terminating or terminated"),
            },
            weight: f.real_or("heft", 1.0)?,
            started: Some(f.micros_or("last_start", 0)?).filter(|s| s.0 > 0),
        })
    }
    fn event(&mut self, f: &Fields, now: Micros) -> Result<Option<Event>> {
        Ok(Some(match f.message {
            "KNOCK" => {
                let class =
                    *self.classes.get(f.text("kind")?).map_or_else(|| f.fail("kind", "a known class"), Ok)?;
                let plan =
                    *self.plans.get(f.text("plan")?).map_or_else(|| f.fail("plan", "a known plan"), Ok)?;
                let Ok(customer) = u64::from_str_radix(f.text("user_key")?, 16) else {
                    return f.fail("user_key", "16 hex digits");
                };
                let longest = self.class_list[class].deadline;
                let units = f.real_or("price_units", 1.0)?;
                if units < 0.0 {
                    return f.fail("price_units", "a number of 0 or more");
                }
                Event::Request(Arrival {
                    id: RequestId(f.whole("ref")?),
                    class: ClassId(class),
                    plan: PlanId(plan),
                    customer: CustomerId(customer),
                    spread: f.real_or("doors", 1.0)?.clamp(1.0, 1e6) as u32,
                    deadline: f.read("drop_dead", "a clock time")?.map_or(now + longest, Micros),
                    units,
                    resent: f.flag_or("resent", false)?,
                })
            }
            "RING" => Event::Timer(TimerId(f.whole("ref")?)),
            "FIRST_BYTE" => Event::StreamStarted(RequestId(f.whole("ref")?)),
            "TIMED_OUT_CLIENT" => Event::ClientGone(RequestId(f.whole("ref")?)),
            "PONG" => Event::Probed(self.server(f.text("backend")?), f.outcome()?, f.report()?),
            "COUNT_RESULT" => {
                Event::Counted(CountName(f.whole("book")?), f.outcome()?, f.real_or("result_value", 0.0)?)
            }
            "OUTCOME" => Event::AttemptEnded(AttemptEnd {
                id: RequestId(f.whole("ref")?),
                attempt: f.whole_or("trial", 0)? as usize,
                server: self.server(f.text("backend")?),
                outcome: f.outcome()?,
                took: f.micros_or("took", 0)?,
                ended: f.flag_or("ended", false)?,
                settled: Some(f.real_or("settled", 0.0)?).filter(|s| *s > 0.0),
                report: f.report()?,
            }),
            _ => return Ok(None),
        }))
    }
    fn write(&self, action: &Action, out: &mut String) {
        let name = |s: &ServerId| self.addresses.get(s).map_or("", String::as_str);
        // Writing to a String cannot fail.
        let _ = match action {
            Action::Send(r, s, until) => {
                writeln!(out, "ROUTE ref={} backend={} abandon_at={}", r.0, name(s), until.0)
            }
            Action::Refuse(r, None) => writeln!(out, "REJECT ref={}", r.0),
            Action::Refuse(r, Some(b)) => writeln!(out, "REJECT ref={} backoff={}", r.0, b.0),
            // The bench has no callers that do their own work.
            Action::Grant(_) => Ok(()),
            Action::Fail(r) => writeln!(out, "FINISH_ERROR ref={}", r.0),
            Action::Cancel(r, a) => writeln!(out, "ABANDON ref={} trial={a}", r.0),
            Action::Probe(s) => writeln!(out, "PROBE backend={}", name(s)),
            Action::Count(n, amount, life) => {
                writeln!(out, "ADD_AND_GET book={} amount={amount} lifetime={}", n.0, life.0)
            }
            Action::SetTimer(t, after) => writeln!(out, "WAKE_ME ref={} in={}", t.0, after.0),
            Action::Subscribe => writeln!(out, "LISTEN active=1"),
            Action::FetchList => writeln!(out, "RELOAD"),
        };
    }
}

fn zone_id(zones: &mut HashMap<String, u32>, name: &str) -> ZoneId {
    let next = zones.len() as u32;
    ZoneId(*zones.entry(name.to_string()).or_insert(next))
}

/// A list event whose entry lines are still coming.
struct OpenList {
    scope: ListScope,
    entries: Vec<ServerEntry>,
    left: u64,
}

/// The gateways of one process, by number, and the batch being read.
#[derive(Default)]
pub struct Drill {
    instances: BTreeMap<u32, Instance>,
    current: Option<u32>,
    now: Micros,
    line: u64,
    in_batch: bool,
    list: Option<OpenList>,
    replies: BTreeMap<u32, String>,
    actions: Vec<Action>,
}

impl Drill {
    /// Takes one line of input; at the end of a batch, returns the reply.
    pub fn line(&mut self, text: &str) -> Result<Option<String>> {
        self.line += 1;
        if text.is_empty() {
            return Ok(None);
        }
        let f = Fields::parse(self.line, text)?;
        if f.message != "TICK" && !self.in_batch {
            return Err(WireError(format!("line {}: {}: expected TICK to begin a batch", f.at, f.message)));
        }
        if self.list.is_some() && f.message != "ITEM" {
            return Err(WireError(format!("line {}: {}: expected ITEM, the list is short", f.at, f.message)));
        }
        match f.message {
            "TICK" => {
                let now = Micros(f.whole("now")?);
                if self.in_batch || now < self.now {
                    return f.fail("now", "a batch's end first, and a clock that moves forward");
                }
                (self.now, self.in_batch, self.current) = (now, true, None);
            }
            "FOR" => self.current = Some(f.small("who")?),
            "START" => {
                let Some(who) = self.current else { return self.nobody(&f) };
                self.instances.insert(who, Instance::start(&f)?);
            }
            "DOWN" => {
                let Some(who) = self.current else { return self.nobody(&f) };
                self.instances.remove(&who);
                self.replies.remove(&who);
            }
            "FLUSH" => {
                self.in_batch = false;
                let mut reply = String::new();
                for (who, text) in std::mem::take(&mut self.replies) {
                    if !text.is_empty() {
                        let _ = write!(reply, "AS who={who}\n{text}");
                    }
                }
                reply.push_str("EOR\n");
                return Ok(Some(reply));
            }
            "FLEET" => {
                let scope = match f.text("scope")? {
                    "incr" => ListScope::Changes,
                    "total" | "warm_copy" => ListScope::Whole,
                    "lost" => ListScope::Lost,
                    _ => return f.fail("scope", "incr, total, warm_copy or lost"),
                };
                let left = f.whole_or("items", 0)?;
                if self.current.is_none() {
                    return self.nobody(&f);
                }
                self.list = Some(OpenList { scope, entries: Vec::new(), left });
                self.close_list();
            }
            "ITEM" => {
                let Some(list) = self.list.as_mut() else {
                    return Err(WireError(format!("line {}: ITEM: expected only inside a FLEET list", f.at)));
                };
                let instance = self.current.and_then(|who| self.instances.get_mut(&who));
                if let Some(instance) = instance {
                    list.entries.push(instance.entry(&f)?);
                }
                list.left -= 1;
                self.close_list();
            }
            _ => {
                let Some(who) = self.current else { return self.nobody(&f) };
                if let Some(instance) = self.instances.get_mut(&who) {
                    if let Some(event) = instance.event(&f, self.now)? {
                        self.tell(who, event);
                    }
                }
            }
        }
        Ok(None)
    }
    fn nobody(&self, f: &Fields) -> Result<Option<String>> {
        Err(WireError(format!("line {}: {}: expected a FOR line before it", f.at, f.message)))
    }
    fn close_list(&mut self) {
        if let (Some(list), Some(who)) = (self.list.take_if(|l| l.left == 0), self.current) {
            self.tell(who, Event::Servers(list.scope, list.entries));
        }
    }
    fn tell(&mut self, who: u32, event: Event) {
        if let Some(instance) = self.instances.get_mut(&who) {
            self.actions.clear();
            instance.gateway.handle(self.now, event, &mut self.actions);
            let reply = self.replies.entry(who).or_default();
            for action in &self.actions {
                instance.write(action, reply);
            }
        }
    }
    /// What is wrong when the input ends now.
    pub fn finish(&self) -> Result<()> {
        if self.in_batch {
            return Err(WireError(format!("line {}: expected FLUSH before the input's end", self.line)));
        }
        Ok(())
    }
}

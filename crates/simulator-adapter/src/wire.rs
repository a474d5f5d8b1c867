//! The text protocol of the drill, to and from the types of `api.rs`. Nothing here decides.

use crate::fields::Fields;
use crate::settings::{self, zone_id, Read};
use chalkdeck::api::*;
use chalkdeck::DecisionEngine;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;

pub use crate::fields::WireError;

type Result<T> = std::result::Result<T, WireError>;

/// One gateway with the names by which the wire knows what it is told of.
struct Instance {
    gateway: DecisionEngine,
    classes: HashMap<String, usize>,
    plans: HashMap<String, usize>,
    zones: HashMap<String, u32>,
    addresses: HashMap<EndpointId, String>,
    class_list: Vec<Class>,
}

impl Instance {
    fn start(f: &Fields) -> Result<Instance> {
        let seed = f.whole("rng_seed")?;
        let Read {
            settings,
            classes,
            plans,
            zones,
        } = settings::read(f)?;
        let class_list = settings.classes.clone();
        let gateway = DecisionEngine::new(seed, settings)
            .map_err(|e| WireError(format!("line {}: START: settings: {e}", f.at)))?;
        let addresses = HashMap::new();
        Ok(Instance {
            gateway,
            classes,
            plans,
            zones,
            addresses,
            class_list,
        })
    }
    fn server(&mut self, address: &str) -> EndpointId {
        // The next free one on a clash.
        let mut id = settings::server_id(address);
        while self
            .addresses
            .get(&id)
            .is_some_and(|known| known != address)
        {
            id = EndpointId(id.0.wrapping_add(1));
        }
        self.addresses
            .entry(id)
            .or_insert_with(|| address.to_string());
        id
    }
    fn entry(&mut self, f: &Fields) -> Result<EndpointEntry> {
        Ok(EndpointEntry {
            endpoint: self.server(f.text("backend")?),
            zone: zone_id(
                &mut self.zones,
                f.pairs.get("rack_zone").copied().unwrap_or(""),
            ),
            cell: CellId(f.whole_or("pod", 0)?),
            state: match f.text("status")? {
                "in_service" => EndpointState::InService,
                "terminating" => EndpointState::Draining,
                "terminated" => EndpointState::Removed,
                _ => return f.fail("status", "in_service, terminating or terminated"),
            },
            weight: f.real_or("heft", 1.0)?,
            started_at: Some(Timestamp::from_micros(f.whole_or("last_start", 0)?))
                .filter(|at| *at > Timestamp::ZERO),
        })
    }
    fn event(&mut self, f: &Fields, now: Timestamp) -> Result<Option<Event>> {
        Ok(Some(match f.message {
            "KNOCK" => {
                let class = *self
                    .classes
                    .get(f.text("kind")?)
                    .map_or_else(|| f.fail("kind", "a known class"), Ok)?;
                let plan = *self
                    .plans
                    .get(f.text("plan")?)
                    .map_or_else(|| f.fail("plan", "a known plan"), Ok)?;
                let Ok(customer) = u64::from_str_radix(f.text("user_key")?, 16) else {
                    return f.fail("user_key", "16 hex digits");
                };
                let longest = self.class_list[class].deadline;
                let units = f.real_or("price_units", 1.0)?;
                if units < 0.0 {
                    return f.fail("price_units", "a number of 0 or more");
                }
                Event::RequestArrived(IncomingRequest {
                    id: RequestId(f.whole("ref")?),
                    class: ClassId(class),
                    plan: PlanId(plan),
                    customer: CustomerId(customer),
                    customer_gateways: f.real_or("doors", 1.0)?.clamp(1.0, 1e6) as u32,
                    deadline: f
                        .read("drop_dead", "a clock time")?
                        .map_or(now + longest, Timestamp::from_micros),
                    units,
                    is_retry: f.flag_or("resent", false)?,
                })
            }
            "RING" => Event::Timer(TimerId(f.whole("ref")?)),
            "FIRST_BYTE" => Event::ResponseStarted(RequestId(f.whole("ref")?)),
            "TIMED_OUT_CLIENT" => Event::ClientDisconnected(RequestId(f.whole("ref")?)),
            "PONG" => Event::ProbeCompleted {
                endpoint: self.server(f.text("backend")?),
                outcome: f.outcome()?,
                load_report: f.report()?,
            },
            "COUNT_RESULT" => Event::CounterReplied {
                key: CounterKey(f.whole("book")?),
                outcome: f.outcome()?,
                total: f.real_or("result_value", 0.0)?,
            },
            "OUTCOME" => Event::AttemptEnded(AttemptResult {
                id: RequestId(f.whole("ref")?),
                attempt: f.whole_or("trial", 0)? as usize,
                endpoint: self.server(f.text("backend")?),
                outcome: f.outcome()?,
                elapsed: f.micros_or("took", 0)?,
                request_finished: f.flag_or("ended", false)?,
                settled_units: Some(f.real_or("settled", 0.0)?).filter(|s| *s > 0.0),
                load_report: f.report()?,
            }),
            _ => return Ok(None),
        }))
    }
    fn write(&self, action: &Action, out: &mut String) {
        let name = |s: &EndpointId| self.addresses.get(s).map_or("", String::as_str);
        // Writing to a String cannot fail.
        let _ = match action {
            Action::SendAttempt {
                request: r,
                endpoint: s,
                deadline: until,
            } => {
                writeln!(
                    out,
                    "ROUTE ref={} backend={} abandon_at={}",
                    r.0,
                    name(s),
                    until.as_micros()
                )
            }
            Action::Reject {
                request: r,
                retry_after: None,
            } => writeln!(out, "REJECT ref={}", r.0),
            Action::Reject {
                request: r,
                retry_after: Some(b),
            } => writeln!(out, "REJECT ref={} backoff={}", r.0, b.as_micros()),
            // The bench has no callers that do their own work.
            Action::Grant(_) => Ok(()),
            Action::Fail(r) => writeln!(out, "FINISH_ERROR ref={}", r.0),
            Action::CancelAttempt {
                request: r,
                attempt: a,
            } => writeln!(out, "ABANDON ref={} trial={a}", r.0),
            Action::Probe(s) => writeln!(out, "PROBE backend={}", name(s)),
            Action::AddToCounter {
                key: n,
                amount,
                time_to_live: life,
            } => {
                writeln!(
                    out,
                    "ADD_AND_GET book={} amount={amount} lifetime={}",
                    n.0,
                    life.as_micros()
                )
            }
            Action::SetTimer { timer: t, after } => {
                writeln!(out, "WAKE_ME ref={} in={}", t.0, after.as_micros())
            }
            Action::Subscribe => writeln!(out, "LISTEN active=1"),
            Action::FetchEndpoints => writeln!(out, "RELOAD"),
        };
    }
}

/// A list event whose entry lines are still coming.
struct OpenList {
    scope: UpdateScope,
    entries: Vec<EndpointEntry>,
    left: u64,
}

/// The gateways of one process, by number, and the batch being read.
#[derive(Default)]
pub struct Drill {
    instances: BTreeMap<u32, Instance>,
    current: Option<u32>,
    now: Timestamp,
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
            return Err(WireError(format!(
                "line {}: {}: expected TICK to begin a batch",
                f.at, f.message
            )));
        }
        if self.list.is_some() && f.message != "ITEM" {
            return Err(WireError(format!(
                "line {}: {}: expected ITEM, the list is short",
                f.at, f.message
            )));
        }
        match f.message {
            "TICK" => {
                let now = Timestamp::from_micros(f.whole("now")?);
                if self.in_batch || now < self.now {
                    return f.fail("now", "a batch's end first, and a clock that moves forward");
                }
                (self.now, self.in_batch, self.current) = (now, true, None);
            }
            "FOR" => self.current = Some(f.small("who")?),
            "START" => {
                let Some(who) = self.current else {
                    return self.nobody(&f);
                };
                self.instances.insert(who, Instance::start(&f)?);
            }
            "DOWN" => {
                let Some(who) = self.current else {
                    return self.nobody(&f);
                };
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
                    "incr" => UpdateScope::Incremental,
                    "total" | "warm_copy" => UpdateScope::Complete,
                    "lost" => UpdateScope::Unavailable,
                    _ => return f.fail("scope", "incr, total, warm_copy or lost"),
                };
                let left = f.whole_or("items", 0)?;
                if self.current.is_none() {
                    return self.nobody(&f);
                }
                self.list = Some(OpenList {
                    scope,
                    entries: Vec::new(),
                    left,
                });
                self.close_list();
            }
            "ITEM" => {
                let Some(list) = self.list.as_mut() else {
                    return Err(WireError(format!(
                        "line {}: ITEM: expected only inside a FLEET list",
                        f.at
                    )));
                };
                let instance = self.current.and_then(|who| self.instances.get_mut(&who));
                if let Some(instance) = instance {
                    list.entries.push(instance.entry(&f)?);
                }
                list.left -= 1;
                self.close_list();
            }
            _ => {
                let Some(who) = self.current else {
                    return self.nobody(&f);
                };
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
        Err(WireError(format!(
            "line {}: {}: expected a FOR line before it",
            f.at, f.message
        )))
    }
    fn close_list(&mut self) {
        if let (Some(list), Some(who)) = (self.list.take_if(|l| l.left == 0), self.current) {
            self.tell(
                who,
                Event::EndpointsUpdated {
                    scope: list.scope,
                    entries: list.entries,
                },
            );
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
            return Err(WireError(format!(
                "line {}: expected FLUSH before the input's end",
                self.line
            )));
        }
        Ok(())
    }
}

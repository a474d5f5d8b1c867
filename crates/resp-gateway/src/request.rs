//! A client's command read as a request. Nothing here decides: what cannot be read is an error line.

use bytes::Bytes;
use chalkdeck::api::{
    ClassId, CustomerId, Idempotency, IncomingRequest, PlanId, RequestId, Settings, Timestamp,
};
use chalkdeck_resp::encode_command;
use chalkdeck_simulator_adapter::settings::Read;

/// Why a command is no request: the text is the error line that its client reads.
#[derive(Clone, Debug, PartialEq, thiserror::Error, miette::Diagnostic)]
#[diagnostic(help(
    "the client's command is at fault and was not run: the client has to be mended"
))]
pub enum RequestError {
    /// Too few or too many words.
    #[error("wrong number of arguments")]
    #[diagnostic(code(chalkdeck::request::arguments))]
    Arguments,
    /// No command of the platform.
    #[error("unknown command")]
    #[diagnostic(code(chalkdeck::request::unknown))]
    Unknown,
    /// A customer that is no number of theirs.
    #[error("customer: expected 16 hex digits below 2^33")]
    #[diagnostic(code(chalkdeck::request::customer))]
    Customer,
    /// An id that is empty, too long or not plain.
    #[error("id: expected 1 to {MOST_ID} letters or digits")]
    #[diagnostic(code(chalkdeck::request::id))]
    Id,
    /// The id of another open request.
    #[error("id: expected one that no open request has")]
    #[diagnostic(code(chalkdeck::request::id_taken))]
    IdTaken,
    /// The list of names and values is no text.
    #[error("expected names and values")]
    #[diagnostic(code(chalkdeck::request::list))]
    List,
    /// A part of the list without a value.
    #[error("expected name=value, found '{}'", .0.escape_debug())]
    #[diagnostic(code(chalkdeck::request::pair))]
    Pair(String),
    /// A name that stands twice.
    #[error("{0}: expected once")]
    #[diagnostic(code(chalkdeck::request::twice))]
    Twice(&'static str),
    /// A class that the settings do not have.
    #[error("c: expected a class of the settings")]
    #[diagnostic(code(chalkdeck::request::class))]
    Class,
    /// A plan that the settings do not have.
    #[error("t: expected a plan of the settings")]
    #[diagnostic(code(chalkdeck::request::plan))]
    Plan,
    /// The other command than the class asks for.
    #[error("expected API.READ for a class that is safe to repeat, API.WRITE for others")]
    #[diagnostic(code(chalkdeck::request::verb))]
    Verb,
    /// No key in a keyed class.
    #[error("k: expected a key in a keyed class")]
    #[diagnostic(code(chalkdeck::request::key))]
    Key,
    /// No deadline.
    #[error("d: expected milliseconds")]
    #[diagnostic(code(chalkdeck::request::time))]
    Time,
    /// A number that is none or out of range.
    #[error("{name}: expected a whole number from {from} to {to}")]
    #[diagnostic(code(chalkdeck::request::number))]
    Number {
        /// Its name.
        name: &'static str,
        /// The least.
        from: u64,
        /// The most.
        to: u64,
    },
    /// Units that are none or out of range.
    #[error("units: expected above 0, at most {0}")]
    #[diagnostic(code(chalkdeck::request::units))]
    Units(f64),
    /// A mark of a retry that is none.
    #[error("r: expected 1")]
    #[diagnostic(code(chalkdeck::request::retry))]
    Retry,
}

/// The longest id.
const MOST_ID: usize = 64;
/// Customers are numbers below this.
const CUSTOMERS: u64 = 1 << 33;

/// A command that can be passed on: its words, and where in the list of names the time stands.
#[derive(Clone, Debug)]
pub struct Command {
    words: Vec<Bytes>,
    /// Place of the value of `d` in the list.
    time: std::ops::Range<usize>,
}

impl Command {
    /// The request's id as the client gave it.
    pub fn id(&self) -> &Bytes {
        &self.words[2]
    }
    /// Appends the command with the time that the gateway will wait, in milliseconds.
    pub fn push(&self, out: &mut bytes::BytesMut, wait_ms: u64) {
        let (list, wait) = (&self.words[3], wait_ms.to_string());
        let timed = [
            &list[..self.time.start],
            wait.as_bytes(),
            &list[self.time.end..],
        ];
        let plain: Vec<[&[u8]; 1]> = self.words.iter().map(|w| [&w[..]]).collect();
        let mut words: Vec<&[&[u8]]> = plain.iter().map(|w| &w[..]).collect();
        words[3] = &timed;
        encode_command(out, &words);
    }
}

/// The values of the list that matter here.
#[derive(Default)]
struct Fields<'a> {
    class: Option<&'a str>,
    plan: Option<&'a str>,
    time: Option<&'a str>,
    key: Option<&'a str>,
    units: Option<&'a str>,
    spread: Option<&'a str>,
    first: Option<&'a str>,
    retry: Option<&'a str>,
}

fn fields(list: &str) -> Result<Fields<'_>, RequestError> {
    let mut fields = Fields::default();
    for pair in list.split(',') {
        let Some((name, value)) = pair.split_once('=') else {
            return Err(RequestError::Pair(pair.to_string()));
        };
        let (name, place) = match name {
            "c" => ("c", &mut fields.class),
            "t" => ("t", &mut fields.plan),
            "d" => ("d", &mut fields.time),
            "k" => ("k", &mut fields.key),
            "units" => ("units", &mut fields.units),
            "spread" => ("spread", &mut fields.spread),
            "first" => ("first", &mut fields.first),
            "r" => ("r", &mut fields.retry),
            _ => continue,
        };
        if place.replace(value).is_some() {
            return Err(RequestError::Twice(name));
        }
    }
    Ok(fields)
}

fn whole(name: &'static str, text: Option<&str>, from: u64, to: u64) -> Result<u64, RequestError> {
    let digits = text.filter(|t| !t.is_empty() && t.bytes().all(|b| b.is_ascii_digit()));
    let number = digits
        .and_then(|t| t.parse().ok())
        .filter(|n| (from..=to).contains(n));
    number.ok_or(RequestError::Number { name, from, to })
}

/// Reads a command that came at `now`; the gateway knows the request by `id`. Errors say what was expected.
pub fn read(
    words: Vec<Bytes>,
    id: RequestId,
    now: u64,
    names: &Read,
) -> Result<(Command, IncomingRequest), RequestError> {
    let set: &Settings = &names.settings;
    let write = match (words.first().map(|w| &w[..]), words.len()) {
        (Some(b"API.READ"), 4) => false,
        (Some(b"API.WRITE"), 5) => true,
        (Some(b"API.READ" | b"API.WRITE"), _) => return Err(RequestError::Arguments),
        _ => return Err(RequestError::Unknown),
    };
    let hex = std::str::from_utf8(&words[1])
        .ok()
        .filter(|t| t.len() == 16 && !t.starts_with('+'));
    let customer = hex
        .and_then(|t| u64::from_str_radix(t, 16).ok())
        .filter(|c| *c < CUSTOMERS);
    let customer = customer.ok_or(RequestError::Customer)?;
    let sound = |b: &u8| b.is_ascii_graphic();
    if words[2].is_empty() || words[2].len() > MOST_ID || !words[2].iter().all(sound) {
        return Err(RequestError::Id);
    }
    let list = std::str::from_utf8(&words[3]).map_err(|_| RequestError::List)?;
    let f = fields(list)?;
    let class = f
        .class
        .and_then(|c| names.classes.get(c))
        .ok_or(RequestError::Class)?;
    let plan = f
        .plan
        .and_then(|t| names.plans.get(t))
        .ok_or(RequestError::Plan)?;
    let kind = &set.classes[*class];
    if write == (kind.idempotency == Idempotency::Idempotent) {
        return Err(RequestError::Verb);
    }
    if kind.idempotency == Idempotency::Keyed && f.key.is_none_or(str::is_empty) {
        return Err(RequestError::Key);
    }
    let time = f.time.ok_or(RequestError::Time)?;
    let wait = whole("d", Some(time), 1, u64::MAX / 1_000)?
        .saturating_mul(1_000)
        .min(kind.deadline.as_micros());
    let units = f
        .units
        .and_then(|u| u.parse::<f64>().ok())
        .filter(|u| *u > 0.0 && *u <= set.max_request_units);
    let units = units.ok_or(RequestError::Units(set.max_request_units))?;
    let gateways = u64::from(set.gateways);
    let spread = whole("spread", f.spread, 1, gateways)?;
    whole("first", f.first, 0, gateways - 1)?;
    let resent = match f.retry {
        None | Some("0") => false,
        Some("1") => true,
        _ => return Err(RequestError::Retry),
    };
    // `time` is a part of the list, so its place is a difference of addresses.
    let start = time.as_ptr() as usize - list.as_ptr() as usize;
    let range = start..start + time.len();
    let arrival = IncomingRequest {
        id,
        class: ClassId(*class),
        plan: PlanId(*plan),
        customer: CustomerId(customer),
        customer_gateways: spread as u32,
        deadline: Timestamp::from_micros(now + wait),
        units,
        is_retry: resent,
    };
    Ok((Command { words, time: range }, arrival))
}

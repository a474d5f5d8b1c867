//! A client's command parsed as a request. Nothing here decides: what is invalid becomes an error line.

mod error;
mod fields;

pub use error::RequestError;

use bytes::{Bytes, BytesMut};
use chalkdeck::api::{
    Class, ClassId, CustomerId, Idempotency, IncomingRequest, PlanId, RequestId, Settings,
};
use chalkdeck_resp::encode_command;
use chalkdeck_simulator_adapter::settings::NamedSettings;
use chalkdeck_time::{TimeDelta, Timestamp};
use error::MAX_ID_BYTES;
use fields::Fields;
use std::ops::Range;

/// The places of the words in a command.
const CUSTOMER_WORD: usize = 1;
const ID_WORD: usize = 2;
const FIELDS_WORD: usize = 3;
/// The words of a command without and with a body.
const READ_WORDS: usize = 4;
const WRITE_WORDS: usize = 5;
/// The digits of a customer.
const CUSTOMER_DIGITS: usize = 16;
/// Customers are numbers below this.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Microseconds in a millisecond, the unit of time-outs in commands.
const MICROS_PER_MILLI: u64 = 1_000;

/// A command that can be forwarded to an endpoint.
#[derive(Clone, Debug)]
pub struct ApiCommand {
    words: Vec<Bytes>,
    /// Where the value of the time-out stands in the list of fields.
    timeout_range: Range<usize>,
}

impl ApiCommand {
    /// The request's id as the client gave it.
    pub fn id(&self) -> &Bytes {
        &self.words[ID_WORD]
    }

    /// Appends the command as it was received but for the time-out, which is what is left of it in milliseconds.
    pub fn encode(&self, out: &mut BytesMut, timeout_ms: u64) {
        let list = &self.words[FIELDS_WORD];
        let timeout = timeout_ms.to_string();
        let list_pieces = [
            &list[..self.timeout_range.start],
            timeout.as_bytes(),
            &list[self.timeout_range.end..],
        ];
        let single_pieces: Vec<[&[u8]; 1]> = self.words.iter().map(|word| [&word[..]]).collect();
        let mut words: Vec<&[&[u8]]> = single_pieces.iter().map(|word| &word[..]).collect();
        words[FIELDS_WORD] = &list_pieces;
        encode_command(out, &words);
    }
}

/// A valid command: what is forwarded, and what the decision module is told.
#[derive(Clone, Debug)]
pub struct ParsedRequest {
    /// The command.
    pub command: ApiCommand,
    /// The request.
    pub request: IncomingRequest,
}

/// The command of a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Verb {
    Read,
    Write,
}

/// Parses a command that was received at `received_at`. The gateway knows the request by `id`; `names` are those of the settings.
///
/// # Errors
/// [`RequestError`] says what was expected.
pub fn parse(
    words: Vec<Bytes>,
    id: RequestId,
    received_at: Timestamp,
    names: &NamedSettings,
) -> Result<ParsedRequest, RequestError> {
    let settings = &names.settings;
    let verb = parse_verb(&words)?;
    let customer = parse_customer(&words[CUSTOMER_WORD])?;
    check_id(&words[ID_WORD])?;
    let list = std::str::from_utf8(&words[FIELDS_WORD]).map_err(|_| RequestError::FieldList)?;
    let fields = Fields::parse(list)?;
    let class_id = find_class(&fields, names)?;
    let plan = find_plan(&fields, names)?;
    let class = &settings.classes[class_id.0];
    check_idempotency(verb, class, &fields)?;
    let timeout = parse_timeout(&fields, class)?;
    let units = parse_units(&fields, settings)?;
    let gateways = u64::from(settings.gateways);
    let customer_gateways = parse_whole("spread", fields.customer_gateways, 1, gateways)?;
    parse_whole("first", fields.first_gateway, 0, gateways - 1)?;
    let is_retry = parse_retry(&fields)?;
    let timeout_range = fields.timeout_range;
    let request = IncomingRequest {
        id,
        class: class_id,
        plan,
        customer,
        customer_gateways: customer_gateways as u32,
        deadline: received_at + timeout,
        units,
        is_retry,
    };
    let command = ApiCommand {
        words,
        timeout_range,
    };
    Ok(ParsedRequest { command, request })
}

fn parse_verb(words: &[Bytes]) -> Result<Verb, RequestError> {
    match (words.first().map(|word| &word[..]), words.len()) {
        (Some(b"API.READ"), READ_WORDS) => Ok(Verb::Read),
        (Some(b"API.WRITE"), WRITE_WORDS) => Ok(Verb::Write),
        (Some(b"API.READ" | b"API.WRITE"), _) => Err(RequestError::ArgumentCount),
        _ => Err(RequestError::UnknownCommand),
    }
}

fn parse_customer(word: &[u8]) -> Result<CustomerId, RequestError> {
    std::str::from_utf8(word)
        .ok()
        .filter(|text| text.len() == CUSTOMER_DIGITS && !text.starts_with('+'))
        .and_then(|text| u64::from_str_radix(text, 16).ok())
        .filter(|customer| *customer < CUSTOMER_LIMIT)
        .map(CustomerId)
        .ok_or(RequestError::Customer)
}

fn check_id(word: &[u8]) -> Result<(), RequestError> {
    let is_printable = word.iter().all(u8::is_ascii_graphic);
    if word.is_empty() || word.len() > MAX_ID_BYTES || !is_printable {
        return Err(RequestError::Id);
    }
    Ok(())
}

fn find_class(fields: &Fields, names: &NamedSettings) -> Result<ClassId, RequestError> {
    let index = fields.class.and_then(|name| names.class_indices.get(name));
    index.copied().map(ClassId).ok_or(RequestError::Class)
}

fn find_plan(fields: &Fields, names: &NamedSettings) -> Result<PlanId, RequestError> {
    let index = fields.plan.and_then(|name| names.plan_indices.get(name));
    index.copied().map(PlanId).ok_or(RequestError::Plan)
}

/// Only idempotent classes are read, and keyed ones have a key.
fn check_idempotency(verb: Verb, class: &Class, fields: &Fields) -> Result<(), RequestError> {
    let expected_verb = match class.idempotency {
        Idempotency::Idempotent => Verb::Read,
        Idempotency::Keyed | Idempotency::NonIdempotent => Verb::Write,
    };
    if verb != expected_verb {
        return Err(RequestError::Verb);
    }
    let has_key = fields.idempotency_key.is_some_and(|key| !key.is_empty());
    if class.idempotency == Idempotency::Keyed && !has_key {
        return Err(RequestError::IdempotencyKey);
    }
    Ok(())
}

/// The client's time-out, which is not longer than that of the class.
fn parse_timeout(fields: &Fields, class: &Class) -> Result<TimeDelta, RequestError> {
    let text = fields.timeout.ok_or(RequestError::Timeout)?;
    let millis = parse_whole("d", Some(text), 1, u64::MAX / MICROS_PER_MILLI)?;
    let class_timeout = class.deadline;
    Ok(TimeDelta::from_millis(millis).min(class_timeout))
}

fn parse_units(fields: &Fields, settings: &Settings) -> Result<f64, RequestError> {
    let max = settings.max_request_units;
    fields
        .units
        .and_then(|text| text.parse::<f64>().ok())
        .filter(|units| *units > 0.0 && *units <= max)
        .ok_or(RequestError::Units(max))
}

fn parse_retry(fields: &Fields) -> Result<bool, RequestError> {
    match fields.is_retry {
        None | Some("0") => Ok(false),
        Some("1") => Ok(true),
        _ => Err(RequestError::Retry),
    }
}

/// A whole number without a sign from `min` to `max`.
fn parse_whole(
    name: &'static str,
    text: Option<&str>,
    min: u64,
    max: u64,
) -> Result<u64, RequestError> {
    let is_digits = |text: &&str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    text.filter(is_digits)
        .and_then(|text| text.parse().ok())
        .filter(|number| (min..=max).contains(number))
        .ok_or(RequestError::Number { name, min, max })
}

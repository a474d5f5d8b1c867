//! Parses clients' commands into requests. This only validates: an invalid command gets an error reply, and whether a valid request is
//! admitted is left to the decision engine.

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

/// The indexes of the words in a command.
const CUSTOMER_WORD: usize = 1;
const ID_WORD: usize = 2;
const FIELDS_WORD: usize = 3;
/// The number of words in `API.READ`, and in `API.WRITE`, which has a body.
const READ_WORD_COUNT: usize = 4;
const WRITE_WORD_COUNT: usize = 5;
/// The number of hex digits in a customer's number.
const CUSTOMER_DIGITS: usize = 16;
/// The exclusive upper bound of customers' numbers.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Microseconds in a millisecond, the unit of time-outs in commands.
const MICROS_PER_MILLI: u64 = 1_000;

/// A valid command, which can be forwarded to an endpoint.
#[derive(Clone, Debug)]
pub struct ApiCommand {
    words: Vec<Bytes>,
    /// The byte range of the time-out's value in the list of fields.
    timeout_range: Range<usize>,
}

impl ApiCommand {
    /// Whether running the command again has no effect.
    pub fn is_idempotent(&self) -> bool {
        self.words[0][..] == *b"API.READ"
    }

    /// The id that the client chose for the request.
    pub fn id(&self) -> &Bytes {
        &self.words[ID_WORD]
    }

    /// Appends the command as it was received, except that the time-out is replaced by `timeout_ms`, the time that remains.
    pub fn encode(&self, out: &mut BytesMut, timeout_ms: u64) {
        let fields = &self.words[FIELDS_WORD];
        let timeout = timeout_ms.to_string();
        let fields_pieces = [
            &fields[..self.timeout_range.start],
            timeout.as_bytes(),
            &fields[self.timeout_range.end..],
        ];
        let unchanged_words: Vec<[&[u8]; 1]> = self.words.iter().map(|word| [&word[..]]).collect();
        let mut words: Vec<&[&[u8]]> = unchanged_words.iter().map(|word| &word[..]).collect();
        words[FIELDS_WORD] = &fields_pieces;
        encode_command(out, &words);
    }
}

/// The result of parsing a valid command.
#[derive(Clone, Debug)]
pub struct ParsedRequest {
    /// The command to forward to an endpoint.
    pub command: ApiCommand,
    /// The request to report to the decision engine.
    pub request: IncomingRequest,
}

/// The verb of a command: `API.READ` or `API.WRITE`.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Verb {
    Read,
    Write,
}

/// Parses a command that was received at `received_at`. `id` is the gateway's own id of the request; `names` are the names of classes
/// and plans in the settings.
///
/// # Errors
/// [`RequestError`] names the invalid part and says what was expected.
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
    let field_list =
        std::str::from_utf8(&words[FIELDS_WORD]).map_err(|_| RequestError::FieldList)?;
    let fields = Fields::parse(field_list)?;
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
        (Some(b"API.READ"), READ_WORD_COUNT) => Ok(Verb::Read),
        (Some(b"API.WRITE"), WRITE_WORD_COUNT) => Ok(Verb::Write),
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

/// Checks that the verb and the idempotency key suit the class: idempotent classes need `API.READ`, the others `API.WRITE`, and keyed
/// classes also need a key.
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

/// Parses the client's time-out and limits it to the deadline of the class.
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
    match fields.retry_flag {
        None | Some("0") => Ok(false),
        Some("1") => Ok(true),
        _ => Err(RequestError::Retry),
    }
}

/// Parses a whole number without a sign, from `min` to `max`.
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

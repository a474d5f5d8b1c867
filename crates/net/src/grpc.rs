//! gRPC over HTTP/2 by its public specification: framing, timeouts, statuses and their details.

use base64::engine::{
    general_purpose::STANDARD_NO_PAD, DecodePaddingMode, GeneralPurpose, GeneralPurposeConfig,
};
use base64::{alphabet, Engine as _};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use chalkdeck_proto::google::rpc;
use http::{header::CONTENT_TYPE, HeaderMap, HeaderValue, Request, Response};
use percent_encoding::{percent_decode_str, utf8_percent_encode, AsciiSet, CONTROLS};
use prost::Message;

/// gRPC status codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(i32)]
pub enum Code {
    /// Success.
    Ok = 0,
    /// The caller cancelled the call.
    Cancelled = 1,
    /// An unknown error.
    Unknown = 2,
    /// The request is invalid in any state of the system.
    InvalidArgument = 3,
    /// The deadline passed before the call ended.
    DeadlineExceeded = 4,
    /// The requested entity does not exist.
    NotFound = 5,
    /// The entity to create exists already.
    AlreadyExists = 6,
    /// The caller lacks permission for this operation.
    PermissionDenied = 7,
    /// A quota or a resource is exhausted.
    ResourceExhausted = 8,
    /// The state of the system does not allow the call.
    FailedPrecondition = 9,
    /// The call was aborted, usually because of a conflict.
    Aborted = 10,
    /// The request is outside the valid range.
    OutOfRange = 11,
    /// The method is not implemented.
    Unimplemented = 12,
    /// An invariant is broken.
    Internal = 13,
    /// The service is not available now; a retry may succeed.
    Unavailable = 14,
    /// Data is lost or corrupted.
    DataLoss = 15,
    /// The caller has no valid credentials.
    Unauthenticated = 16,
}

const CODES: [Code; 17] = [
    Code::Ok,
    Code::Cancelled,
    Code::Unknown,
    Code::InvalidArgument,
    Code::DeadlineExceeded,
    Code::NotFound,
    Code::AlreadyExists,
    Code::PermissionDenied,
    Code::ResourceExhausted,
    Code::FailedPrecondition,
    Code::Aborted,
    Code::OutOfRange,
    Code::Unimplemented,
    Code::Internal,
    Code::Unavailable,
    Code::DataLoss,
    Code::Unauthenticated,
];

/// The trailer with the status code.
pub const STATUS: &str = "grpc-status";
/// The trailer with the status message, percent-encoded.
pub const MESSAGE: &str = "grpc-message";
/// The trailer with the status details: `google.rpc.Status` in base64.
pub const DETAILS: &str = "grpc-status-details-bin";
/// The trailer with the milliseconds until a client may retry. A negative number forbids retries.
pub const RETRY_PUSHBACK: &str = "grpc-retry-pushback-ms";
/// The header with the number of earlier attempts of this call.
pub const PREVIOUS_ATTEMPTS: &str = "grpc-previous-rpc-attempts";
/// The header with the idempotency key of a call.
pub const IDEMPOTENCY_KEY: &str = "x-idempotency-key";
/// The trailer by which a server states, with "1", that it did not process a call.
pub const UNPROCESSED: &str = "x-chalkdeck-unprocessed";
/// The header with the time left until a call's deadline.
pub const TIMEOUT: &str = "grpc-timeout";

/// The size of the header of a frame: a compression flag and the length of the message.
const FRAME_HEADER_BYTES: usize = 5;
/// Maximum number of digits of a timeout.
const MAX_TIMEOUT_DIGITS: usize = 8;
/// The message type in the status details that states when to retry.
const RETRY_INFO: &str = "google.rpc.RetryInfo";
const GRPC_CONTENT_TYPE: HeaderValue = HeaderValue::from_static("application/grpc");
const ESCAPED_BYTES: &AsciiSet = &CONTROLS.add(b'%');

impl Code {
    /// The code with this number. Numbers that the specification does not define become `Unknown`.
    pub fn from_number(number: i32) -> Code {
        usize::try_from(number)
            .ok()
            .and_then(|i| CODES.get(i).copied())
            .unwrap_or(Code::Unknown)
    }
    /// The status in trailers, or in the head of a trailers-only response, if there is one.
    pub fn from_trailers(trailers: &HeaderMap) -> Option<Code> {
        let text = trailers.get(STATUS)?.to_str().ok()?;
        Some(text.parse().map_or(Code::Unknown, Code::from_number))
    }
}

/// Whether the content type is gRPC: `application/grpc`, optionally followed by `+` or `;` and more text.
pub fn is_grpc(headers: &HeaderMap) -> bool {
    let Some(Ok(content_type)) = headers.get(CONTENT_TYPE).map(HeaderValue::to_str) else {
        return false;
    };
    content_type
        .strip_prefix("application/grpc")
        .is_some_and(|rest| rest.is_empty() || rest.starts_with(['+', ';']))
}

/// Parses a `grpc-timeout` into microseconds, rounded up. `None` unless it is one to eight digits and a unit.
pub fn parse_timeout(text: &str) -> Option<u64> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    if digits.is_empty()
        || digits.len() > MAX_TIMEOUT_DIGITS
        || !digits.bytes().all(|b| b.is_ascii_digit())
    {
        return None;
    }
    let value: u64 = digits.parse().ok()?;
    Some(match unit {
        "H" => value * 3_600_000_000,
        "M" => value * 60_000_000,
        "S" => value * 1_000_000,
        "m" => value * 1_000,
        "u" => value,
        "n" => value.div_ceil(1_000),
        _ => return None,
    })
}

/// Encodes a duration in microseconds as a `grpc-timeout`, in the finest unit that fits in eight digits.
pub fn encode_timeout(micros: u64) -> HeaderValue {
    let units = [
        ("u", 1),
        ("m", 1_000),
        ("S", 1_000_000),
        ("M", 60_000_000),
        ("H", 3_600_000_000),
    ];
    let finest_unit = units.iter().find(|(_, size)| micros / size <= 99_999_999);
    let text = finest_unit.map_or("99999999H".to_string(), |(unit, size)| {
        format!("{}{unit}", micros / size)
    });
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1H"))
}

/// Percent-encodes a status message.
pub fn encode_message(text: &str) -> HeaderValue {
    HeaderValue::from_str(&utf8_percent_encode(text, ESCAPED_BYTES).to_string())
        .unwrap_or(HeaderValue::from_static("-"))
}

/// Decodes the status message in trailers; empty if there is none.
pub fn decode_message(trailers: &HeaderMap) -> String {
    let text = trailers
        .get(MESSAGE)
        .and_then(|v| v.to_str().ok())
        .unwrap_or("");
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

/// Trailers with a status and its message.
pub fn trailers(code: Code, message: &str) -> HeaderMap {
    let mut map = HeaderMap::new();
    map.insert(STATUS, HeaderValue::from(code as i32));
    if !message.is_empty() {
        map.insert(MESSAGE, encode_message(message));
    }
    map
}

/// The head of a trailers-only response.
pub fn trailers_only(mut trailers: HeaderMap) -> Response<()> {
    let mut response = Response::new(());
    trailers.insert(CONTENT_TYPE, GRPC_CONTENT_TYPE);
    *response.headers_mut() = trailers;
    response
}

/// The head of a response that has messages.
pub fn response_head() -> Response<()> {
    let mut response = Response::new(());
    response
        .headers_mut()
        .insert(CONTENT_TYPE, GRPC_CONTENT_TYPE);
    response
}

/// The head of a request. `None` if the authority and the path do not form a valid URI.
pub fn request_head(authority: &str, path: &str) -> Option<Request<()>> {
    let uri = format!("http://{authority}{path}");
    let request = Request::post(uri)
        .header(CONTENT_TYPE, GRPC_CONTENT_TYPE)
        .header("te", "trailers");
    request.body(()).ok()
}

/// Adds the retry time, in microseconds, to the trailers of a rejected call. `None` forbids retries.
pub fn add_retry_info(map: &mut HeaderMap, code: Code, message: &str, retry_after: Option<u64>) {
    let Some(micros) = retry_after else {
        map.insert(RETRY_PUSHBACK, HeaderValue::from_static("-1"));
        return;
    };
    map.insert(RETRY_PUSHBACK, HeaderValue::from(micros.div_ceil(1_000)));
    let delay = prost_types::Duration {
        seconds: (micros / 1_000_000) as i64,
        nanos: (micros % 1_000_000 * 1_000) as i32,
    };
    let info = rpc::RetryInfo {
        retry_delay: Some(delay),
    };
    let detail = prost_types::Any {
        type_url: format!("type.googleapis.com/{RETRY_INFO}"),
        value: info.encode_to_vec(),
    };
    let status = rpc::Status {
        code: code as i32,
        message: message.to_string(),
        details: vec![detail],
    };
    if let Ok(value) = HeaderValue::from_str(&STANDARD_NO_PAD.encode(status.encode_to_vec())) {
        map.insert(DETAILS, value);
    }
}

/// Decodes the retry time in the status details, in microseconds.
pub fn decode_retry_info(trailers: &HeaderMap) -> Option<u64> {
    let lenient =
        GeneralPurposeConfig::new().with_decode_padding_mode(DecodePaddingMode::Indifferent);
    let base64 = GeneralPurpose::new(&alphabet::STANDARD, lenient);
    let bytes = base64.decode(trailers.get(DETAILS)?.as_bytes()).ok()?;
    let status = rpc::Status::decode(&bytes[..]).ok()?;
    let detail = status
        .details
        .iter()
        .find(|detail| detail.type_url.ends_with(RETRY_INFO))?;
    let delay = rpc::RetryInfo::decode(&detail.value[..])
        .ok()?
        .retry_delay?;
    let seconds = u64::try_from(delay.seconds).ok()?;
    Some(
        seconds
            .saturating_mul(1_000_000)
            .saturating_add(u64::try_from(delay.nanos).ok()? / 1_000),
    )
}

/// Appends a message with its frame header.
pub fn push_frame(out: &mut BytesMut, message: &impl Message) {
    out.put_u8(0);
    out.put_u32(message.encoded_len() as u32);
    message.encode(out).expect("a growable buffer");
}

/// One message with its frame header, uncompressed.
pub fn frame(message: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(FRAME_HEADER_BYTES + message.len());
    out.put_u8(0);
    out.put_u32(message.len() as u32);
    out.put_slice(message);
    out.freeze()
}

/// The received bytes are not valid frames.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The message is longer than allowed.
    #[error("message of {0} bytes, expected at most {1}")]
    TooLong(usize, usize),
    /// The message is compressed, although no compression was negotiated.
    #[error("a compressed message, expected none")]
    Compressed,
}

/// Extracts messages from the bytes of a stream.
#[derive(Debug, Default)]
pub struct Deframer {
    bytes: BytesMut,
}

impl Deframer {
    /// Appends received bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.bytes.extend_from_slice(data);
    }
    /// Takes the next message, if it is complete.
    ///
    /// # Errors
    /// The message is longer than `max_bytes`, or compressed.
    pub fn next(&mut self, max_bytes: usize) -> Result<Option<Bytes>, FrameError> {
        if self.bytes.len() < FRAME_HEADER_BYTES {
            return Ok(None);
        }
        if self.bytes[0] != 0 {
            return Err(FrameError::Compressed);
        }
        let length = (&self.bytes[1..FRAME_HEADER_BYTES]).get_u32() as usize;
        if length > max_bytes {
            return Err(FrameError::TooLong(length, max_bytes));
        }
        if self.bytes.len() < FRAME_HEADER_BYTES + length {
            return Ok(None);
        }
        self.bytes.advance(FRAME_HEADER_BYTES);
        Ok(Some(self.bytes.split_to(length).freeze()))
    }
}

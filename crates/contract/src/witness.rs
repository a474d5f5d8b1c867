//! Builds witnesses: messages as one version writes them and as the other reads them.

use crate::{Direction, Witness};
use prost::Message;
use prost_reflect::{DynamicMessage, MessageDescriptor, ReflectMessage};

/// The witness of a message that is misread in its binary form.
pub(crate) fn binary_witness(
    direction: Direction,
    written: &DynamicMessage,
    reader: &MessageDescriptor,
) -> Witness {
    let bytes = written.encode_to_vec();
    let read = match DynamicMessage::decode(reader.clone(), &bytes[..]) {
        Ok(message) => message.to_text_format(),
        Err(error) => describe_decode_error(&error),
    };
    Witness::Message {
        direction,
        message: written.descriptor().full_name().to_string(),
        bytes,
        written: written.to_text_format(),
        read,
    }
}

/// The witness of a message that is misread in its JSON form.
pub(crate) fn json_witness(
    direction: Direction,
    written: &DynamicMessage,
    reader: &MessageDescriptor,
) -> Witness {
    let json = serde_json::to_string(written).unwrap_or_default();
    let mut source = serde_json::Deserializer::from_str(&json);
    let read = match DynamicMessage::deserialize(reader.clone(), &mut source) {
        Ok(message) => serde_json::to_string(&message).unwrap_or_default(),
        Err(error) => describe_decode_error(&error),
    };
    Witness::Message {
        direction,
        message: written.descriptor().full_name().to_string(),
        bytes: written.encode_to_vec(),
        written: json,
        read,
    }
}

fn describe_decode_error(error: &dyn std::error::Error) -> String {
    format!("nothing: {error}")
}

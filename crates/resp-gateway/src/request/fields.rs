//! Parses the list of fields in a command: `name=value` pairs, separated by commas.

use super::error::RequestError;
use std::ops::Range;

/// The values of the fields that the gateway reads. Other fields are forwarded to the endpoint unread.
#[derive(Default)]
pub(super) struct Fields<'a> {
    pub(super) class: Option<&'a str>,
    pub(super) plan: Option<&'a str>,
    pub(super) timeout: Option<&'a str>,
    /// The byte range of the time-out's value in the list.
    pub(super) timeout_range: Range<usize>,
    pub(super) idempotency_key: Option<&'a str>,
    pub(super) units: Option<&'a str>,
    pub(super) customer_gateways: Option<&'a str>,
    pub(super) first_gateway: Option<&'a str>,
    pub(super) retry_flag: Option<&'a str>,
}

impl<'a> Fields<'a> {
    pub(super) fn parse(list: &'a str) -> Result<Fields<'a>, RequestError> {
        let mut fields = Fields::default();
        let mut pair_start = 0;
        for pair in list.split(',') {
            let Some((name, value)) = pair.split_once('=') else {
                return Err(RequestError::Field(pair.to_string()));
            };
            let pair_end = pair_start + pair.len();
            if name == "d" {
                fields.timeout_range = pair_end - value.len()..pair_end;
            }
            fields.set(name, value)?;
            pair_start = pair_end + ",".len();
        }
        Ok(fields)
    }

    fn set(&mut self, name: &str, value: &'a str) -> Result<(), RequestError> {
        let (name, field) = match name {
            "c" => ("c", &mut self.class),
            "t" => ("t", &mut self.plan),
            "d" => ("d", &mut self.timeout),
            "k" => ("k", &mut self.idempotency_key),
            "units" => ("units", &mut self.units),
            "spread" => ("spread", &mut self.customer_gateways),
            "first" => ("first", &mut self.first_gateway),
            "r" => ("r", &mut self.retry_flag),
            _ => return Ok(()),
        };
        if field.replace(value).is_some() {
            return Err(RequestError::DuplicateField(name));
        }
        Ok(())
    }
}

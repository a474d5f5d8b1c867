//! Typed access to the `name=value` fields of a message.

use crate::WireError;
use chalkdeck::api::{LoadReport, Outcome, TimeDelta};
use std::collections::HashMap;
use std::str::FromStr;

pub(crate) type Result<T> = std::result::Result<T, WireError>;

/// The `name=value` fields of one line, or settings from another source under the same names.
pub(crate) struct Fields<'a> {
    /// Number of the line, from 1; 0 if the fields were not read from a line.
    pub(crate) line_number: u64,
    pub(crate) message_name: &'a str,
    pub(crate) values_by_name: HashMap<&'a str, &'a str>,
}

impl<'a> Fields<'a> {
    /// Splits a line into the message name and the fields.
    pub(crate) fn parse(line_number: u64, text: &'a str) -> Result<Fields<'a>> {
        let mut parts = text.split(' ');
        let message_name = parts.next().unwrap_or("");
        let mut values_by_name = HashMap::new();
        for part in parts {
            let Some((name, value)) = part.split_once('=') else {
                return Err(WireError::MalformedField {
                    line: line_number,
                    message_name: message_name.to_string(),
                    found: part.to_string(),
                });
            };
            values_by_name.insert(name, value);
        }
        Ok(Fields {
            line_number,
            message_name,
            values_by_name,
        })
    }

    /// Returns the text of a field, or `None` if the field is missing.
    pub(crate) fn get(&self, name: &str) -> Option<&'a str> {
        self.values_by_name.get(name).copied()
    }

    /// Returns the error for a field whose value is missing or invalid.
    pub(crate) fn field_error(&self, name: &str, expected: &'static str) -> WireError {
        WireError::InvalidField {
            line: self.line_number,
            message_name: self.message_name.to_string(),
            field: name.to_string(),
            expected,
            found: self.get(name).map(str::to_string),
        }
    }

    /// Parses a field as any type; returns `None` if the field is missing.
    pub(crate) fn parse_optional<T: FromStr>(
        &self,
        name: &str,
        expected: &'static str,
    ) -> Result<Option<T>> {
        let Some(text) = self.get(name) else {
            return Ok(None);
        };
        let value = text.parse();
        value
            .map(Some)
            .map_err(|_| self.field_error(name, expected))
    }

    /// Parses a field as any type; returns an error if the field is missing.
    fn parse_required<T: FromStr>(&self, name: &str, expected: &'static str) -> Result<T> {
        self.parse_optional(name, expected)?
            .ok_or_else(|| self.field_error(name, expected))
    }

    /// Parses a required whole number.
    pub(crate) fn required_u64(&self, name: &str) -> Result<u64> {
        self.parse_required(name, "a whole number")
    }

    /// Parses a whole number, or returns the default if the field is missing.
    pub(crate) fn u64_or(&self, name: &str, default: u64) -> Result<u64> {
        Ok(self
            .parse_optional(name, "a whole number")?
            .unwrap_or(default))
    }

    /// Parses a required whole number of at most 32 bits.
    pub(crate) fn required_u32(&self, name: &str) -> Result<u32> {
        self.parse_required(name, "a small whole number")
    }

    /// Parses a finite number, or returns the default if the field is missing.
    pub(crate) fn f64_or(&self, name: &str, default: f64) -> Result<f64> {
        let value = self.parse_optional::<f64>(name, "a number")?;
        let value = value.unwrap_or(default);
        if self.get(name).is_some() && !value.is_finite() {
            return Err(self.field_error(name, "a finite number"));
        }
        Ok(value)
    }

    /// Parses a duration in microseconds, or returns the default if the field is missing.
    pub(crate) fn duration_or(&self, name: &str, default: TimeDelta) -> Result<TimeDelta> {
        self.u64_or(name, default.as_micros())
            .map(TimeDelta::from_micros)
    }

    /// Parses a boolean, or returns the default if the field is missing.
    pub(crate) fn bool_or(&self, name: &str, default: bool) -> Result<bool> {
        match self.get(name) {
            None => Ok(default),
            Some("1" | "true") => Ok(true),
            Some("0" | "false") => Ok(false),
            Some(_) => Err(self.field_error(name, "1 or 0")),
        }
    }

    /// Returns the text of a required field.
    pub(crate) fn required_text(&self, name: &str) -> Result<&'a str> {
        self.get(name)
            .ok_or_else(|| self.field_error(name, "a text"))
    }

    /// Parses the outcome of an attempt, a probe or a counter call.
    pub(crate) fn outcome(&self) -> Result<Outcome> {
        match self.required_text("how")? {
            "200" => Ok(Outcome::Ok),
            "500" => Ok(Outcome::Error),
            "503" => Ok(Outcome::Rejected),
            "504" => Ok(Outcome::Timeout),
            "502" => Ok(Outcome::ConnectFailed),
            "598" => Ok(Outcome::Reset),
            "499" => Ok(Outcome::Cancelled),
            "410" => Ok(Outcome::NeverSent),
            _ => Err(self.field_error("how", "one of 200 410 499 500 502 503 504 598")),
        }
    }

    /// Parses the load that an endpoint reported, as `name:number` pairs. Unknown names are ignored.
    pub(crate) fn load_report(&self) -> Result<LoadReport> {
        let mut load_report = LoadReport::default();
        let Some(text) = self.get("report") else {
            return Ok(load_report);
        };
        for pair in text.split(',').filter(|pair| !pair.is_empty()) {
            let Some((name, value)) = parse_load_pair(pair) else {
                return Err(self.field_error("report", "name:number pairs"));
            };
            match name {
                "concurrent" => load_report.in_flight = Some(value),
                "depth" => load_report.queued = Some(value),
                "load_share" => load_report.utilization = Some(value),
                _ => {}
            }
        }
        Ok(load_report)
    }
}

fn parse_load_pair(pair: &str) -> Option<(&str, f64)> {
    let (name, value) = pair.split_once(':')?;
    Some((name, value.parse().ok()?))
}

//! The `name=value` parts of a message, read one by one.

use crate::WireError;
use chalkdeck::api::{LoadReport, Outcome, TimeDelta};
use std::collections::HashMap;
use std::str::FromStr;

pub(crate) type Result<T> = std::result::Result<T, WireError>;

/// The `name=value` parts of one line, or of settings in another form under the same names.
pub(crate) struct Fields<'a> {
    /// Number of the line, from 1; 0: not a line.
    pub(crate) line: u64,
    pub(crate) message: &'a str,
    pub(crate) pairs: HashMap<&'a str, &'a str>,
}

impl<'a> Fields<'a> {
    /// Divides a line into its message and fields.
    pub(crate) fn parse(line: u64, text: &'a str) -> Result<Fields<'a>> {
        let mut parts = text.split(' ');
        let message = parts.next().unwrap_or("");
        let mut pairs = HashMap::new();
        for part in parts {
            let Some((name, value)) = part.split_once('=') else {
                return Err(WireError::Unnamed {
                    line,
                    message: message.to_string(),
                    found: part.to_string(),
                });
            };
            pairs.insert(name, value);
        }
        Ok(Fields {
            line,
            message,
            pairs,
        })
    }

    /// A field as it stands; none if it is missing.
    pub(crate) fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs.get(name).copied()
    }

    /// The error for a field that does not hold what is expected.
    pub(crate) fn field_error(&self, name: &str, expected: &'static str) -> WireError {
        WireError::Field {
            line: self.line,
            message: self.message.to_string(),
            field: name.to_string(),
            expected,
            found: self.get(name).map(str::to_string),
        }
    }

    /// A field of any type; none if it is missing.
    pub(crate) fn read<T: FromStr>(&self, name: &str, expected: &'static str) -> Result<Option<T>> {
        let Some(text) = self.get(name) else {
            return Ok(None);
        };
        let value = text.parse();
        value
            .map(Some)
            .map_err(|_| self.field_error(name, expected))
    }

    fn require<T: FromStr>(&self, name: &str, expected: &'static str) -> Result<T> {
        self.read(name, expected)?
            .ok_or_else(|| self.field_error(name, expected))
    }

    /// A whole number.
    pub(crate) fn whole(&self, name: &str) -> Result<u64> {
        self.require(name, "a whole number")
    }

    /// A whole number, or the default.
    pub(crate) fn whole_or(&self, name: &str, default: u64) -> Result<u64> {
        Ok(self.read(name, "a whole number")?.unwrap_or(default))
    }

    /// A whole number of 32 bits.
    pub(crate) fn small(&self, name: &str) -> Result<u32> {
        self.require(name, "a small whole number")
    }

    /// A finite number, or the default.
    pub(crate) fn real_or(&self, name: &str, default: f64) -> Result<f64> {
        let value = self.read::<f64>(name, "a number")?;
        let value = value.unwrap_or(default);
        if self.get(name).is_some() && !value.is_finite() {
            return Err(self.field_error(name, "a finite number"));
        }
        Ok(value)
    }

    /// A span in microseconds, or the default.
    pub(crate) fn span_or(&self, name: &str, default: TimeDelta) -> Result<TimeDelta> {
        self.whole_or(name, default.as_micros())
            .map(TimeDelta::from_micros)
    }

    /// A yes or no, or the default.
    pub(crate) fn flag_or(&self, name: &str, default: bool) -> Result<bool> {
        match self.get(name) {
            None => Ok(default),
            Some("1" | "true") => Ok(true),
            Some("0" | "false") => Ok(false),
            Some(_) => Err(self.field_error(name, "1 or 0")),
        }
    }

    /// A text.
    pub(crate) fn text(&self, name: &str) -> Result<&'a str> {
        self.get(name)
            .ok_or_else(|| self.field_error(name, "a text"))
    }

    /// How an attempt, a probe or a counter call ended.
    pub(crate) fn outcome(&self) -> Result<Outcome> {
        match self.text("how")? {
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

    /// What an endpoint reported of its load, as `name:number` pairs; unknown names are passed over.
    pub(crate) fn load_report(&self) -> Result<LoadReport> {
        let mut report = LoadReport::default();
        let Some(text) = self.get("report") else {
            return Ok(report);
        };
        for pair in text.split(',').filter(|pair| !pair.is_empty()) {
            let Some((name, value)) = parse_load(pair) else {
                return Err(self.field_error("report", "name:number pairs"));
            };
            match name {
                "concurrent" => report.in_flight = Some(value),
                "depth" => report.queued = Some(value),
                "load_share" => report.utilization = Some(value),
                _ => {}
            }
        }
        Ok(report)
    }
}

fn parse_load(pair: &str) -> Option<(&str, f64)> {
    let (name, value) = pair.split_once(':')?;
    Some((name, value.parse().ok()?))
}

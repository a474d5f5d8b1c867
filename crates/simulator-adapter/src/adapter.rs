//! The text protocol of the simulator: batches of lines in, one reply for each batch out.

use crate::actions::write_action;
use crate::fields::{Fields, Result};
use crate::instance::Instance;
use crate::WireError;
use chalkdeck::api::{Action, EndpointEntry, Event, Timestamp, UpdateScope};
use std::collections::BTreeMap;

/// An endpoint list whose entries are still coming.
struct OpenList {
    scope: UpdateScope,
    entries: Vec<EndpointEntry>,
    /// Entries still to come.
    missing: u64,
}

/// The gateways of one process by their numbers, and the batch that is being read.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u32, Instance>,
    /// Number of the gateway that the next lines are for.
    current: Option<u32>,
    now: Timestamp,
    /// Number of the last line.
    line: u64,
    is_in_batch: bool,
    list: Option<OpenList>,
    replies: BTreeMap<u32, String>,
    /// Buffer for the actions on one event.
    actions: Vec<Action>,
}

impl Adapter {
    /// Takes one line of input; at the end of a batch, returns the reply.
    ///
    /// # Errors
    ///
    /// The line cannot be used; the input as a whole is not to be trusted from there on.
    pub fn line(&mut self, text: &str) -> Result<Option<String>> {
        self.line += 1;
        if text.is_empty() {
            return Ok(None);
        }
        let fields = Fields::parse(self.line, text)?;
        self.check_place(&fields)?;
        match fields.message {
            "TICK" => self.begin_batch(&fields)?,
            "FOR" => self.current = Some(fields.small("who")?),
            "START" => self.start_instance(&fields)?,
            "DOWN" => self.remove_instance(&fields)?,
            "FLUSH" => return Ok(Some(self.end_batch())),
            "FLEET" => self.begin_list(&fields)?,
            "ITEM" => self.add_entry(&fields)?,
            _ => self.handle_message(&fields)?,
        }
        Ok(None)
    }

    /// Checks that the input may end now.
    ///
    /// # Errors
    ///
    /// A batch has no end.
    pub fn finish(&self) -> Result<()> {
        if self.is_in_batch {
            return Err(WireError::UnfinishedBatch { line: self.line });
        }
        Ok(())
    }

    /// Checks that a message may stand where it does.
    fn check_place(&self, fields: &Fields) -> Result<()> {
        let message = fields.message;
        if message != "TICK" && !self.is_in_batch {
            return Err(WireError::OutsideBatch {
                line: fields.line,
                message: message.to_string(),
            });
        }
        if message != "ITEM" && self.list.is_some() {
            return Err(WireError::ListIsShort {
                line: fields.line,
                message: message.to_string(),
            });
        }
        Ok(())
    }

    fn begin_batch(&mut self, fields: &Fields) -> Result<()> {
        let now = Timestamp::from_micros(fields.whole("now")?);
        if self.is_in_batch || now < self.now {
            let expected = "a batch's end first, and a clock that moves forward";
            return Err(fields.field_error("now", expected));
        }
        self.now = now;
        self.is_in_batch = true;
        self.current = None;
        Ok(())
    }

    fn end_batch(&mut self) -> String {
        self.is_in_batch = false;
        let mut reply = String::new();
        for (number, text) in std::mem::take(&mut self.replies) {
            if !text.is_empty() {
                reply.push_str(&format!("AS who={number}\n{text}"));
            }
        }
        reply.push_str("EOR\n");
        reply
    }

    fn current_number(&self, fields: &Fields) -> Result<u32> {
        self.current.ok_or_else(|| WireError::NoInstance {
            line: fields.line,
            message: fields.message.to_string(),
        })
    }

    fn start_instance(&mut self, fields: &Fields) -> Result<()> {
        let number = self.current_number(fields)?;
        let instance = Instance::start(fields)?;
        self.instances.insert(number, instance);
        Ok(())
    }

    fn remove_instance(&mut self, fields: &Fields) -> Result<()> {
        let number = self.current_number(fields)?;
        self.instances.remove(&number);
        self.replies.remove(&number);
        Ok(())
    }

    fn begin_list(&mut self, fields: &Fields) -> Result<()> {
        let scope = match fields.text("scope")? {
            "incr" => UpdateScope::Incremental,
            "total" | "warm_copy" => UpdateScope::Complete,
            "lost" => UpdateScope::Unavailable,
            _ => return Err(fields.field_error("scope", "incr, total, warm_copy or lost")),
        };
        let missing = fields.whole_or("items", 0)?;
        let number = self.current_number(fields)?;
        self.list = Some(OpenList {
            scope,
            entries: Vec::new(),
            missing,
        });
        self.hand_over_complete_list(number);
        Ok(())
    }

    fn add_entry(&mut self, fields: &Fields) -> Result<()> {
        let Some(list) = &mut self.list else {
            return Err(WireError::ItemOutsideList { line: fields.line });
        };
        let Some(number) = self.current else {
            return Ok(());
        };
        if let Some(instance) = self.instances.get_mut(&number) {
            list.entries.push(instance.endpoint_entry(fields)?);
        }
        list.missing -= 1;
        self.hand_over_complete_list(number);
        Ok(())
    }

    fn hand_over_complete_list(&mut self, number: u32) {
        if let Some(list) = self.list.take_if(|list| list.missing == 0) {
            let event = Event::EndpointsUpdated {
                scope: list.scope,
                entries: list.entries,
            };
            self.handle_event(number, event);
        }
    }

    fn handle_message(&mut self, fields: &Fields) -> Result<()> {
        let number = self.current_number(fields)?;
        let Some(instance) = self.instances.get_mut(&number) else {
            return Ok(());
        };
        if let Some(event) = instance.event(fields, self.now)? {
            self.handle_event(number, event);
        }
        Ok(())
    }

    /// Lets a gateway handle an event, and adds its actions to its reply.
    fn handle_event(&mut self, number: u32, event: Event) {
        let Some(instance) = self.instances.get_mut(&number) else {
            return;
        };
        self.actions.clear();
        instance.engine.handle(self.now, event, &mut self.actions);
        let reply = self.replies.entry(number).or_default();
        for action in &self.actions {
            write_action(action, &instance.addresses, reply)
                .expect("writing to a string cannot fail");
        }
    }
}

//! The text protocol of the simulator: reads batches of lines and returns one reply for each batch.

use crate::actions::write_action;
use crate::fields::{Fields, Result};
use crate::gateway::SimulatedGateway;
use crate::WireError;
use chalkdeck::api::{Action, EndpointEntry, Event, Timestamp, UpdateScope};
use std::collections::BTreeMap;

/// An endpoint list of which some entries have not been read yet.
struct PartialEndpointList {
    scope: UpdateScope,
    entries: Vec<EndpointEntry>,
    /// The number of entries that are still to be read.
    missing_entries: u64,
}

/// The simulated gateways of one process, and the batch that is being read.
#[derive(Default)]
pub struct Adapter {
    /// Gateways by their numbers on the wire.
    gateways: BTreeMap<u32, SimulatedGateway>,
    /// The number of the gateway that the following lines belong to.
    current_gateway: Option<u32>,
    /// The simulator's time in the latest batch.
    now: Timestamp,
    /// The number of the last line read, from 1.
    line_number: u64,
    is_in_batch: bool,
    partial_list: Option<PartialEndpointList>,
    /// Reply lines of the current batch by gateway number.
    replies: BTreeMap<u32, String>,
    /// Reusable buffer for the actions on one event.
    actions: Vec<Action>,
}

impl Adapter {
    /// Handles one line of input, and returns the reply if the line ends a batch.
    ///
    /// # Errors
    ///
    /// The line is invalid. The rest of the input should not be processed after an error.
    pub fn handle_line(&mut self, text: &str) -> Result<Option<String>> {
        self.line_number += 1;
        if text.is_empty() {
            return Ok(None);
        }
        let fields = Fields::parse(self.line_number, text)?;
        self.check_message_order(&fields)?;
        match fields.message_name {
            "TICK" => self.begin_batch(&fields)?,
            "FOR" => self.current_gateway = Some(fields.required_u32("who")?),
            "START" => self.start_gateway(&fields)?,
            "DOWN" => self.remove_gateway(&fields)?,
            "FLUSH" => return Ok(Some(self.end_batch())),
            "FLEET" => self.begin_endpoint_list(&fields)?,
            "ITEM" => self.add_endpoint_entry(&fields)?,
            _ => self.handle_event_message(&fields)?,
        }
        Ok(None)
    }

    /// Checks that the input is complete when it ends.
    ///
    /// # Errors
    ///
    /// The input ended within a batch.
    pub fn finish(&self) -> Result<()> {
        if self.is_in_batch {
            return Err(WireError::UnfinishedBatch {
                line: self.line_number,
            });
        }
        Ok(())
    }

    /// Checks that a message is allowed at this point of the input.
    fn check_message_order(&self, fields: &Fields) -> Result<()> {
        let message_name = fields.message_name;
        if message_name != "TICK" && !self.is_in_batch {
            return Err(WireError::OutsideBatch {
                line: fields.line_number,
                message_name: message_name.to_string(),
            });
        }
        if message_name != "ITEM" && self.partial_list.is_some() {
            return Err(WireError::IncompleteList {
                line: fields.line_number,
                message_name: message_name.to_string(),
            });
        }
        Ok(())
    }

    fn begin_batch(&mut self, fields: &Fields) -> Result<()> {
        let now = Timestamp::from_micros(fields.required_u64("now")?);
        if self.is_in_batch || now < self.now {
            let expected = "a batch's end first, and a clock that moves forward";
            return Err(fields.field_error("now", expected));
        }
        self.now = now;
        self.is_in_batch = true;
        self.current_gateway = None;
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

    /// Returns the number of the current gateway, or an error if no `FOR` line has selected one.
    fn require_current_gateway(&self, fields: &Fields) -> Result<u32> {
        self.current_gateway
            .ok_or_else(|| WireError::NoCurrentGateway {
                line: fields.line_number,
                message_name: fields.message_name.to_string(),
            })
    }

    fn start_gateway(&mut self, fields: &Fields) -> Result<()> {
        let number = self.require_current_gateway(fields)?;
        let gateway = SimulatedGateway::start(fields)?;
        self.gateways.insert(number, gateway);
        Ok(())
    }

    fn remove_gateway(&mut self, fields: &Fields) -> Result<()> {
        let number = self.require_current_gateway(fields)?;
        self.gateways.remove(&number);
        self.replies.remove(&number);
        Ok(())
    }

    fn begin_endpoint_list(&mut self, fields: &Fields) -> Result<()> {
        let scope = match fields.required_text("scope")? {
            "incr" => UpdateScope::Incremental,
            "total" | "warm_copy" => UpdateScope::Complete,
            "lost" => UpdateScope::Unavailable,
            _ => return Err(fields.field_error("scope", "incr, total, warm_copy or lost")),
        };
        let missing_entries = fields.u64_or("items", 0)?;
        let number = self.require_current_gateway(fields)?;
        self.partial_list = Some(PartialEndpointList {
            scope,
            entries: Vec::new(),
            missing_entries,
        });
        self.deliver_list_if_complete(number);
        Ok(())
    }

    fn add_endpoint_entry(&mut self, fields: &Fields) -> Result<()> {
        let Some(list) = &mut self.partial_list else {
            return Err(WireError::ItemOutsideList {
                line: fields.line_number,
            });
        };
        let Some(number) = self.current_gateway else {
            return Ok(());
        };
        if let Some(gateway) = self.gateways.get_mut(&number) {
            list.entries.push(gateway.endpoint_entry(fields)?);
        }
        list.missing_entries -= 1;
        self.deliver_list_if_complete(number);
        Ok(())
    }

    /// Passes the endpoint list to its gateway once all entries have been read.
    fn deliver_list_if_complete(&mut self, number: u32) {
        if let Some(list) = self.partial_list.take_if(|list| list.missing_entries == 0) {
            let event = Event::EndpointsUpdated {
                scope: list.scope,
                entries: list.entries,
            };
            self.handle_event(number, event);
        }
    }

    fn handle_event_message(&mut self, fields: &Fields) -> Result<()> {
        let number = self.require_current_gateway(fields)?;
        let Some(gateway) = self.gateways.get_mut(&number) else {
            return Ok(());
        };
        if let Some(event) = gateway.event(fields, self.now)? {
            self.handle_event(number, event);
        }
        Ok(())
    }

    /// Has a gateway handle an event, and appends the resulting actions to its reply.
    fn handle_event(&mut self, number: u32, event: Event) {
        let Some(gateway) = self.gateways.get_mut(&number) else {
            return;
        };
        self.actions.clear();
        gateway.engine.handle(self.now, event, &mut self.actions);
        let reply = self.replies.entry(number).or_default();
        for action in &self.actions {
            write_action(action, &gateway.addresses, reply)
                .expect("writing to a string cannot fail");
        }
    }
}

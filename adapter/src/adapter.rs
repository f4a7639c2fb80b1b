//! Dispatches the messages of a line of input to the simulated balancers and collects the reply.

use crate::command::{Command, Reply};
use crate::endpoint_message::EndpointMessage;
use crate::error::InputError;
use crate::input::{BalancerInput, Input};
use crate::message::{Batch, Message};
use crate::simulated_balancer::SimulatedBalancer;
use balancer::{EndpointEntry, Event, Micros};
use std::collections::HashMap;

/// The simulated balancers and the endpoint lists that the simulator has sent, by their numbers on
/// the wire.
#[derive(Default)]
pub(crate) struct Adapter {
    balancers: HashMap<i64, SimulatedBalancer>,
    lists: HashMap<i64, Vec<EndpointMessage>>,
}

impl Adapter {
    /// Handles a line with a batch of messages. Returns the reply as a line without its end.
    pub(crate) fn handle_line(&mut self, line: &str) -> Result<String, InputError> {
        let batch: Batch = serde_json::from_str(line).map_err(InputError::NotABatch)?;
        let mut reply = Reply {
            commands: Vec::with_capacity(batch.messages.len()),
        };
        for message in batch.messages {
            if !self.is_for_untracked_request(&message) {
                self.handle(batch.now, message.into_input()?, &mut reply.commands)?;
            }
        }
        serde_json::to_string(&reply).map_err(InputError::Reply)
    }

    /// Whether a message is about an earlier request that the balancer no longer tracks or never
    /// received. Such a message is ignored, even if its other fields are invalid.
    fn is_for_untracked_request(&self, message: &Message) -> bool {
        message
            .existing_request()
            .is_some_and(|(balancer, request)| {
                self.balancers
                    .get(&balancer)
                    .is_some_and(|simulated| !simulated.is_tracked(request))
            })
    }

    fn handle(
        &mut self,
        now: Micros,
        input: Input,
        commands: &mut Vec<Command>,
    ) -> Result<(), InputError> {
        match input {
            Input::List { list, endpoints } => {
                self.lists.insert(list, endpoints);
                Ok(())
            }
            Input::Balancer { balancer, input } => {
                self.handle_balancer(now, balancer, input, commands)
            }
        }
    }

    fn handle_balancer(
        &mut self,
        now: Micros,
        balancer: i64,
        input: BalancerInput,
        commands: &mut Vec<Command>,
    ) -> Result<(), InputError> {
        if let BalancerInput::Create { seed, settings } = &input {
            self.balancers
                .insert(balancer, SimulatedBalancer::new(balancer, *seed, settings)?);
        } else if matches!(input, BalancerInput::Remove) {
            self.balancers.remove(&balancer);
            return Ok(());
        }
        let simulated = self
            .balancers
            .get_mut(&balancer)
            .ok_or(InputError::UnknownBalancer(balancer))?;
        let event = match input {
            BalancerInput::Create { .. } => Event::Start,
            BalancerInput::ListUpdate { kind, list } => Event::EndpointList {
                kind,
                entries: list_entries(&self.lists, list)?,
            },
            BalancerInput::TimerExpired => Event::Timer,
            BalancerInput::HealthChecked {
                endpoint,
                outcome,
                load,
            } => Event::HealthChecked {
                endpoint,
                outcome,
                load,
            },
            BalancerInput::Gossip | BalancerInput::Remove => return Ok(()),
            BalancerInput::Request { request, input } => {
                simulated.handle_request(now, &request, input, commands);
                return Ok(());
            }
        };
        simulated.handle(now, event, commands);
        Ok(())
    }
}

/// The entries of an endpoint list; empty if an update refers to no list.
fn list_entries(
    lists: &HashMap<i64, Vec<EndpointMessage>>,
    list: Option<i64>,
) -> Result<Vec<EndpointEntry>, InputError> {
    let Some(list) = list else {
        return Ok(Vec::new());
    };
    let endpoints = lists.get(&list).ok_or(InputError::UnknownList(list))?;
    endpoints.iter().map(EndpointMessage::entry).collect()
}

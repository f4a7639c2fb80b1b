//! One balancer, with the mapping of the wire's names of classes, tenants and requests to its ids.

use crate::command::{command_for, Command};
use crate::error::InputError;
use crate::input::RequestInput;
use crate::requests::Requests;
use balancer::{Action, Balancer, ClassId, Event, Micros, RequestId, TenantId};
use balancer_settings::SiteSettings;

/// One of the simulated balancers.
pub(crate) struct SimulatedBalancer {
    id: i64,
    balancer: Balancer,
    class_names: Vec<String>,
    tenant_names: Vec<String>,
    requests: Requests,
    /// Buffer for the balancer's actions, empty between events.
    actions: Vec<Action>,
}

impl SimulatedBalancer {
    /// Creates a balancer; [`Event::Start`] starts it.
    pub(crate) fn new(
        id: i64,
        seed: u64,
        settings: &serde_json::Value,
    ) -> Result<SimulatedBalancer, InputError> {
        let SiteSettings {
            settings,
            class_names,
            tenant_names,
        } = balancer_settings::read(settings).map_err(InputError::Settings)?;
        Ok(SimulatedBalancer {
            id,
            balancer: Balancer::new(seed, settings),
            class_names,
            tenant_names,
            requests: Requests::default(),
            actions: Vec::new(),
        })
    }

    /// Whether a request with this id on the wire is tracked.
    pub(crate) fn is_tracked(&self, wire_id: &str) -> bool {
        self.requests.is_tracked(wire_id)
    }

    /// Passes an event to the balancer and appends the resulting commands.
    pub(crate) fn handle(&mut self, now: Micros, event: Event, commands: &mut Vec<Command>) {
        self.balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            commands.extend(command_for(self.id, &mut self.requests, action));
        }
    }

    /// Converts an event of one request to the balancer's event and handles it.
    pub(crate) fn handle_request(
        &mut self,
        now: Micros,
        wire_id: &str,
        input: RequestInput,
        commands: &mut Vec<Command>,
    ) {
        let request = self.requests.id_for(wire_id);
        let event = self.request_event(request, input);
        self.handle(now, event, commands);
        self.requests.untrack_if_complete(request);
    }

    fn request_event(&mut self, request: RequestId, input: RequestInput) -> Event {
        match input {
            RequestInput::Received {
                class,
                tenant,
                time_left,
                client_retry,
            } => {
                let tenant = tenant.and_then(|name| position_of(&self.tenant_names, &name));
                Event::RequestReceived {
                    request,
                    // The balancer treats an index out of range as an unknown class.
                    class: ClassId(position_of(&self.class_names, &class).unwrap_or(usize::MAX)),
                    tenant: tenant.map(TenantId),
                    time_left,
                    client_retry,
                    non_replayable: false,
                }
            }
            RequestInput::AttemptEnded {
                attempt,
                outcome,
                elapsed,
                finished,
                load,
            } => {
                self.requests.record_attempt_end(request);
                if finished {
                    self.requests.mark_finished(request);
                }
                Event::AttemptEnded {
                    request,
                    attempt,
                    outcome,
                    elapsed,
                    request_finished: finished,
                    load,
                }
            }
            RequestInput::ResponseStarted { attempt } => {
                Event::ResponseStarted { request, attempt }
            }
            RequestInput::Cancelled => {
                self.requests.mark_finished(request);
                Event::RequestCancelled { request }
            }
        }
    }
}

fn position_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

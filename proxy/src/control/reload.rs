//! Changes of the configuration while the proxy runs.

use crate::config::{Config, Reloaded};
use crate::control::Control;
use crate::log;
use balancer::{DiscoveryMode, Event, ListUpdate};
use std::rc::Rc;

impl Control {
    /// Continues under a new configuration. Its discovery is watched at once, from the version of
    /// the list that the proxy has.
    pub fn reload(&self, config: Config) {
        let mut state = self.state_mut();
        let Reloaded {
            config,
            needs_restart,
        } = state.config.reloaded(config);
        let discovery_changed = config.discovery != state.config.discovery;
        let note = if needs_restart {
            "; its other changes need a restart"
        } else {
            ""
        };
        log::line(&format!(
            "configuration reloaded, discovery at {}{note}",
            config.discovery
        ));
        state.config = Rc::new(config);
        if !discovery_changed {
            return;
        }
        state.watch.stop();
        if state.config.settings.discovery.mode == DiscoveryMode::Push {
            return state.subscribe(self);
        }
        drop(state);
        // The balancer polls again as after any watch that is lost: what it had planned before
        // would interrupt a watch that is opened here.
        self.dispatch([Event::EndpointList {
            kind: ListUpdate::WatchLost,
            entries: Vec::new(),
        }]);
    }

    /// Shares the descriptors with so many processes of the program, this one included. Idle
    /// connections beyond this one's part are closed.
    pub fn set_process_count(&self, process_count: usize) {
        let mut state = self.state_mut();
        state.config = Rc::new(Config {
            process_count,
            ..Config::clone(&state.config)
        });
        let max_open = state.config.max_endpoint_connections();
        state.pool.shrink(max_open);
    }
}

//! Applies configuration changes while the proxy runs.

use crate::config::{Config, ReloadedConfig};
use crate::control::Control;
use crate::log;
use crate::memory::Need;
use crate::request_ids::ProcessUsage;
use balancer::{DiscoveryMode, Event, ListUpdate};
use std::rc::Rc;

impl Control {
    /// Applies a new configuration. If the discovery address has changed, the new discovery service
    /// is watched at once, starting from the version of the list that the proxy has.
    pub fn reload(&self, config: Config) {
        let mut state = self.state_mut();
        let ReloadedConfig {
            config,
            needs_restart,
        } = state.config.merge_reloaded(config);
        let discovery_changed = config.discovery != state.config.discovery;
        let note = if needs_restart {
            "; changes of listen, admin, the seed, the settings, the classes or the tenants take \
             effect after a restart"
        } else {
            ""
        };
        log::line(&format!(
            "configuration reloaded, discovery at {}{note}",
            config.discovery
        ));
        state.config = Rc::new(config);
        drop(state);
        self.apply_limits();
        if !discovery_changed {
            return;
        }
        let mut state = self.state_mut();
        state.watch.stop();
        if state.config.settings.discovery.mode == DiscoveryMode::Push {
            return state.subscribe(self);
        }
        drop(state);
        // Reported as a lost watch, so that the balancer polls again. If the watch were opened
        // here, a poll that the balancer had already planned would interrupt it.
        self.dispatch([Event::EndpointList {
            kind: ListUpdate::WatchLost,
            entries: Vec::new(),
        }]);
    }

    /// Divides the file descriptors and the memory among this number of processes of the program,
    /// including this one, of which the others use `used_by_others`. Closes connections in excess of
    /// this process's share.
    pub(crate) fn share_limits(&self, process_count: usize, used_by_others: ProcessUsage) {
        let mut state = self.state_mut();
        // During a graceful shutdown a new process may start at any time.
        let is_raised = process_count < state.config.process_count;
        let is_unchanged = process_count == state.config.process_count
            && used_by_others == state.config.used_by_others;
        if is_unchanged || is_raised && state.shutdown.has_begun() {
            return;
        }
        state.config = Rc::new(Config {
            process_count,
            used_by_others,
            ..Config::clone(&state.config)
        });
        drop(state);
        self.apply_limits();
    }

    /// Applies the limits of the configuration to what is open and held. Closes idle connections to
    /// endpoints, and gives up what is held beyond the limit of memory.
    fn apply_limits(&self) {
        let mut state = self.state_mut();
        let max_open = state.config.max_endpoint_connections();
        state.pool.evict_until_below(max_open);
        let memory = state.memory.clone();
        memory.set_max_transfers(state.config.max_transfers());
        memory.account().set_limits(state.config.memory_limits());
        drop(state);
        while memory.account().is_over_limit() && memory.reclaim(Need::Memory) {}
    }
}

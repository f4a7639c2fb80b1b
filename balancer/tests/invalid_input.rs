//! Events that no proxy sends, and settings that no deployment has, must not cause a panic.

mod common;
use balancer::*;
use common::*;

fn handle_invalid_events(settings: Settings) {
    let mut proxy = Proxy::new(settings, 2);
    let times = [0, 1, u64::MAX / 2];
    for (i, &time_left) in times.iter().chain(&[u64::MAX]).enumerate() {
        let class = ClassId(if i % 2 == 0 { 0 } else { usize::MAX });
        let request = RequestId(1_000 + i as u64);
        let tenant = Some(TenantId(i));
        let event = Event::RequestReceived {
            request,
            class,
            tenant,
            time_left,
            client_retry: true,
            non_replayable: false,
        };
        proxy.handle(event.clone());
        proxy.handle(event);
        for attempt in [0, 0, 7] {
            proxy.end_attempt(request, attempt, Outcome::Unknown, u64::MAX);
        }
    }
    proxy.end_attempt(RequestId(99), 0, Outcome::Served, 0);
    proxy.handle(Event::RequestCancelled {
        request: RequestId(99),
    });
    proxy.handle(Event::ResponseStarted {
        request: RequestId(99),
        attempt: 3,
    });
    let load = LoadReport {
        in_flight: Some(f64::NAN),
        queued: Some(-1.0),
        cpu_utilization: None,
    };
    proxy.handle(Event::HealthChecked {
        endpoint: EndpointId(9),
        outcome: Outcome::Served,
        load,
    });
    proxy.update_list(ListUpdate::Full, vec![]);
    proxy.now = u64::MAX - 10;
    proxy.update_list(
        ListUpdate::Delta,
        vec![EndpointEntry {
            started_at: u64::MAX,
            ..ready(1)
        }],
    );
    let (request, _) = proxy.request();
    proxy.advance(5);
    proxy.handle(Event::RequestCancelled { request });
}

#[test]
fn invalid_events_and_settings_cause_no_panic() {
    let mut invalid = settings(Idempotency::Idempotent);
    invalid.balancer_count = 0;
    invalid.limits.max_attempts = 0;
    invalid.tenants = vec![Tenant { quota: 0.0 }];
    invalid.slow_start = SlowStart {
        initial_capacity: 0.0,
        duration: 0,
        overload_multiple: 0.0,
    };
    invalid.discovery = Discovery {
        mode: DiscoveryMode::Push,
        max_poll_interval: 0,
        notification_deadline: 0,
    };
    let without_classes = Settings {
        classes: vec![],
        ..invalid.clone()
    };
    for settings in [invalid, without_classes] {
        handle_invalid_events(settings);
    }
}

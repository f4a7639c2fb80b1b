//! Each tenant's fraction of this balancer's requests, against its quota.

use crate::latency::LATENCY_SMOOTHING;
use crate::{Tenant, TenantId};

/// How many times longer usage is remembered than latencies.
const USAGE_MEMORY_MULTIPLE: f64 = 10.0;
/// Usage up to this multiple of the quota is not over it.
const QUOTA_TOLERANCE: f64 = 1.1;

/// Recent fraction of the requests by tenant.
#[derive(Debug)]
pub(crate) struct TenantUsage {
    fractions: Vec<f64>,
}

impl TenantUsage {
    pub(crate) fn new(tenant_count: usize) -> Self {
        TenantUsage {
            fractions: vec![0.0; tenant_count],
        }
    }

    /// Counts a request and returns whether its tenant is over its quota. A tenant that the
    /// settings do not name always is.
    pub(crate) fn record(&mut self, tenant: TenantId, tenants: &[Tenant]) -> bool {
        let Some(quota) = tenants.get(tenant.0).map(|tenant| tenant.quota) else {
            return true;
        };
        for (index, fraction) in self.fractions.iter_mut().enumerate() {
            let sample = if index == tenant.0 { 1.0 } else { 0.0 };
            *fraction += (sample - *fraction) * LATENCY_SMOOTHING / USAGE_MEMORY_MULTIPLE;
        }
        let total: f64 = self.fractions.iter().sum();
        self.fractions[tenant.0] > total * quota * QUOTA_TOLERANCE
    }
}

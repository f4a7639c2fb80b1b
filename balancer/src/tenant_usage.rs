//! Compares each tenant's fraction of this balancer's requests with its quota.

use crate::latency::LATENCY_SMOOTHING;
use crate::{Tenant, TenantId};

/// Number of samples that the usage average spans, as a multiple of the number that the latency
/// averages span.
const USAGE_SAMPLES_MULTIPLE: f64 = 10.0;
/// Multiple of the quota beyond which usage counts as over quota.
const QUOTA_TOLERANCE: f64 = 1.1;

/// Moving average of each tenant's fraction of the requests.
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

    /// Counts a request and returns whether its tenant is over its quota. A tenant that is not in
    /// the settings has no quota: its requests are not counted, and it always counts as over its
    /// quota.
    pub(crate) fn record(&mut self, tenant: TenantId, tenants: &[Tenant]) -> bool {
        let Some(quota) = tenants.get(tenant.0).map(|tenant| tenant.quota) else {
            return true;
        };
        for (index, fraction) in self.fractions.iter_mut().enumerate() {
            let sample = if index == tenant.0 { 1.0 } else { 0.0 };
            *fraction += (sample - *fraction) * LATENCY_SMOOTHING / USAGE_SAMPLES_MULTIPLE;
        }
        let total: f64 = self.fractions.iter().sum();
        self.fractions[tenant.0] > total * quota * QUOTA_TOLERANCE
    }
}

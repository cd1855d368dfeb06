package pump

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/quota"
)

// QuotaLimits are the limits of quotas of all nodes.
var QuotaLimits = quota.Limits{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

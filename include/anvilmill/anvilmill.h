#pragma once

/// \brief Umbrella header of the coordination library.

#include "anvilmill/admission/jobtable.h"
#include "anvilmill/clock.h"
#include "anvilmill/dispatch/dispatcher.h"
#include "anvilmill/dispatch/executorinfo.h"
#include "anvilmill/forward.h"
#include "anvilmill/history/bodydigest.h"
#include "anvilmill/history/historychecker.h"
#include "anvilmill/history/historyevent.h"
#include "anvilmill/job.h"
#include "anvilmill/manualclock.h"
#include "anvilmill/membership/view.h"
#include "anvilmill/platform/hostlist.h"
#include "anvilmill/platform/keyvaluestore.h"
#include "anvilmill/platform/putresolved.h"
#include "anvilmill/randomsource.h"
#include "anvilmill/result.h"
#include "anvilmill/verdict.h"

/** What all stand-ins of runners share: warm-up, overload, lagging load reports, failures and the ledger. */
package org.mangowall.standin.runner;

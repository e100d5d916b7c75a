/** Common parts of the runner stand-ins: warm-up, overload, delayed load reports, fault injection and the ledger. */
package org.mangowall.standin.runner;

/** Load generator that checks every response and compares the reported outcomes with the runners' ledgers. */
package org.mangowall.standin.caller;

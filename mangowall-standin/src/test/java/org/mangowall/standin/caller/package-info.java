/** Tests of the load generator. */
package org.mangowall.standin.caller;
